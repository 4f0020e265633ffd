package org.crocushaven.protocol;

import io.netty.channel.Channel;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.observability.EventLine;
import org.crocushaven.result.Execution;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Sends messages on one connection to an instance, and finds out when that leads nowhere: a request
 * went unanswered for its time, and nothing at all has arrived since it was sent. Thread-safe.
 */
final class OpenConnection {
    /** Silence after which a connection that is used is probed. */
    private static final long QUIET_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final long PROBE_TIMEOUT_MILLIS = 500;

    private final String instance;
    private final InetSocketAddress address;
    private final Channel channel;
    private final PeerConnection received;
    private final Hello hello;
    private final PendingRequests pending;
    private final NanoClock clock;
    private final Consumer<OpenConnection> onDoubt;
    private final AtomicLong probedNanos;

    private OpenConnection(
            String instance,
            InetSocketAddress address,
            Channel channel,
            PeerConnection received,
            Hello hello,
            PendingRequests pending,
            NanoClock clock,
            Consumer<OpenConnection> onDoubt) {
        this.instance = instance;
        this.address = address;
        this.channel = channel;
        this.received = received;
        this.hello = hello;
        this.pending = pending;
        this.clock = clock;
        this.onDoubt = onDoubt;
        this.probedNanos = new AtomicLong(clock.nanoTime() - QUIET_NANOS);
    }

    /**
     * Greets the instance on a channel that was opened; returns empty if that is closed already.
     *
     * @param onDoubt is told when the connection seems to lead nowhere
     */
    static Optional<OpenConnection> greet(
            String instance,
            InetSocketAddress address,
            Channel channel,
            Hello hello,
            PendingRequests pending,
            NanoClock clock,
            Consumer<OpenConnection> onDoubt) {
        channel.writeAndFlush(new Frame(FrameKind.ONE_WAY, 0, hello));
        return Optional.ofNullable(channel.pipeline().get(PeerConnection.class))
                .map(
                        received ->
                                new OpenConnection(
                                        instance, address, channel, received, hello, pending, clock,
                                        onDoubt));
    }

    InetSocketAddress address() {
        return address;
    }

    boolean isActive() {
        return channel.isActive();
    }

    boolean isWritable() {
        return channel.isWritable();
    }

    /** Returns whether anything has arrived on this connection. */
    boolean hasReceived() {
        return received.hasReceived();
    }

    /** Sends a one-way message. */
    void send(Message message) {
        channel.writeAndFlush(new Frame(FrameKind.ONE_WAY, 0, message), channel.voidPromise());
        probeIfQuiet();
    }

    /** Sends a request, whose time limit ends the answer. */
    void request(Message message, CompletableFuture<Message> answer) {
        final long correlation = pending.register(received, answer);
        final long sentNanos = clock.nanoTime();
        answer.whenComplete(
                (ignored, failure) -> {
                    if (isTimeout(failure)) {
                        requestTimedOut(sentNanos);
                    }
                });
        channel.writeAndFlush(new Frame(FrameKind.REQUEST, correlation, message))
                .addListener(
                        written -> {
                            if (!written.isSuccess()) {
                                answer.completeExceptionally(unreachable());
                            }
                        });
    }

    /** Asks for a sign of the peer if nothing has arrived for a while. */
    void probeIfQuiet() {
        final long nowNanos = clock.nanoTime();
        final long lastProbeNanos = probedNanos.get();
        if (nowNanos - received.receivedNanos() >= QUIET_NANOS
                && nowNanos - lastProbeNanos >= QUIET_NANOS
                && probedNanos.compareAndSet(lastProbeNanos, nowNanos)) {
            probe();
        }
    }

    /** Closes the connection at once. */
    void close() {
        channel.close();
    }

    /** Closes the connection when no request is pending on it any more. */
    void retire(String reason) {
        EventLine.of("peer-connection-retired")
                .with("peer", instance)
                .with("reason", reason)
                .info();
        RetiredConnection.closeWhenUnused(channel, received, pending);
    }

    private void probe() {
        final CompletableFuture<Message> answer = new CompletableFuture<>();
        request(hello, answer);
        final ResultException timeout =
                ResultException.of(ResultCode.PEER_TIMEOUT, instance, PROBE_TIMEOUT_MILLIS);
        channel.eventLoop()
                .schedule(
                        () -> answer.completeExceptionally(timeout),
                        PROBE_TIMEOUT_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private static boolean isTimeout(Throwable failure) {
        return failure instanceof ResultException result
                && result.code() == ResultCode.PEER_TIMEOUT;
    }

    private void requestTimedOut(long sentNanos) {
        final long nowNanos = clock.nanoTime();
        EventLine.of("peer-unanswered")
                .with("peer", instance)
                .with("waited_ms", millisSince(sentNanos, nowNanos))
                .with("silent_ms", millisSince(received.receivedNanos(), nowNanos))
                .with("connection_age_ms", millisSince(received.openedNanos(), nowNanos))
                .info();
        if (received.receivedNanos() - sentNanos < 0) {
            onDoubt.accept(this);
        }
    }

    private ResultException unreachable() {
        return ResultException.of(ResultCode.PEER_UNREACHABLE, instance)
                .withExecution(Execution.NOT_RUN);
    }

    private static long millisSince(long nanos, long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - nanos);
    }
}
