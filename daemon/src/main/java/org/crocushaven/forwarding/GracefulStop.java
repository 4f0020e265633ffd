package org.crocushaven.forwarding;

import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.observability.EventLine;

/**
 * Stops serving clients: serves requests until the load balancer has noticed, refuses later ones,
 * and ends when no connection is busy or the grace period has passed. Used on one event loop only.
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
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();

    private GracefulStop(IngressServer server, EventLoop loop, NanoClock clock, long graceMillis) {
        this.server = server;
        this.loop = loop;
        this.clock = clock;
        this.startNanos = clock.nanoTime();
        this.graceMillis = graceMillis;
    }

    /** Starts a stop; the future completes on the event loop when the gateway may end. */
    static CompletableFuture<Void> start(
            IngressServer server, EventLoop loop, NanoClock clock, long graceMillis) {
        final GracefulStop stop = new GracefulStop(server, loop, clock, graceMillis);
        server.startStopping();
        stop.check();
        return stop.stopped;
    }

    private void check() {
        final long passedMillis = TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - startNanos);
        final boolean balancerInformed = passedMillis >= BALANCER_DETECTION_MILLIS;
        if (balancerInformed) {
            server.startRefusing();
        }
        final boolean idle = balancerInformed && server.closeIdle();
        if (idle || passedMillis >= graceMillis) {
            end(passedMillis, idle);
        } else {
            loop.schedule(this::check, CHECK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void end(long passedMillis, boolean idle) {
        server.reportUnfinished();
        EventLine.of("gateway-stopped").with("passed_ms", passedMillis).with("idle", idle).info();
        server.closeListener();
        stopped.complete(null);
    }
}
