package org.crocushaven.forwarding;

import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.observability.EventLine;
import org.crocushaven.observability.GuardedTask;

/**
 * Stops serving clients: serves requests until the load balancer has noticed, refuses later ones,
 * and ends when no connection is busy. When the grace period has passed, it answers the requests
 * under way itself, and gives clients a short time to take their answers. Used on one event loop
 * only.
 */
final class GracefulStop {
    private static final long CHECK_MILLIS = 50;

    /**
     * Time for the load balancer to notice that an instance is not ready: two readiness checks of
     * one second each, and a margin.
     */
    private static final long BALANCER_DETECTION_MILLIS = 2_600;

    private final IngressServer server;
    private final EventLoop loop;
    private final NanoClock clock;
    private final long startNanos;
    private final long graceMillis;
    private final long writeMillis;
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();

    private GracefulStop(
            IngressServer server,
            EventLoop loop,
            NanoClock clock,
            long graceMillis,
            long writeMillis) {
        this.server = server;
        this.loop = loop;
        this.clock = clock;
        this.startNanos = clock.nanoTime();
        this.graceMillis = graceMillis;
        this.writeMillis = writeMillis;
    }

    /**
     * Starts a stop; the future completes on the event loop when the gateway may end.
     *
     * @param graceMillis time after which requests under way are ended
     * @param writeMillis time after that within which clients may take their answers
     */
    static CompletableFuture<Void> start(
            IngressServer server,
            EventLoop loop,
            NanoClock clock,
            long graceMillis,
            long writeMillis) {
        final GracefulStop stop = new GracefulStop(server, loop, clock, graceMillis, writeMillis);
        server.startStopping(Math.min(BALANCER_DETECTION_MILLIS, graceMillis));
        stop.check();
        return stop.stopped;
    }

    private void check() {
        final long passedMillis = TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - startNanos);
        final boolean idle = advanceGuarded(passedMillis);
        if (idle || passedMillis >= graceMillis + writeMillis) {
            end(passedMillis, idle);
        } else {
            loop.schedule(this::check, CHECK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private boolean advanceGuarded(long passedMillis) {
        try {
            return advance(passedMillis);
        } catch (RuntimeException fault) {
            EventLine.fault(fault).error();
            return false;
        }
    }

    /** Returns whether no connection is busy any more. */
    private boolean advance(long passedMillis) {
        if (passedMillis >= graceMillis) {
            server.endRequests();
        }
        return server.isRefusing() && server.closeIdle();
    }

    private void end(long passedMillis, boolean idle) {
        GuardedTask.of(server::reportUnfinished).run();
        EventLine.of("gateway-stopped").with("passed_ms", passedMillis).with("idle", idle).info();
        GuardedTask.of(server::closeListener).run();
        stopped.complete(null);
    }
}
