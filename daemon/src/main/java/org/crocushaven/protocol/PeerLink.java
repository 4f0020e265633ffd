package org.crocushaven.protocol;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.observability.EventLine;
import org.crocushaven.result.Execution;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Manages the outgoing connection to one instance: opens it on demand and limits the number of
 * messages queued until it is open.
 *
 * <p>A connection may lead nowhere without being closed, when the machine at its other end lost
 * power or was cut off. Once it is in doubt, another one is opened beside it, and replaces it if it
 * can be opened; requests that are under way on the old one keep their time.
 *
 * <p>After a failed attempt, the next one is delayed by a backoff that doubles with each failure up
 * to a maximum. Lock rank 70 guards the channel and the queue; it is not held while I/O completes.
 */
final class PeerLink {
    static final int MAXIMUM_QUEUED_MESSAGES = 1_024;
    private static final long INITIAL_BACKOFF_NANOS = 50_000_000L;
    private static final long MAXIMUM_BACKOFF_NANOS = 250_000_000L;

    /** Silence after which a connection that is used is probed. */
    private static final long QUIET_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final long PROBE_TIMEOUT_MILLIS = 500;

    private final String instance;
    private final Bootstrap bootstrap;
    private final PeerAddresses addresses;
    private final Hello hello;
    private final PendingRequests pending;
    private final NanoClock clock;
    private final ReplacementPacing pacing = new ReplacementPacing();
    private final Queue<Runnable> queuedActions = new ArrayDeque<>();
    private Channel channel;
    private InetSocketAddress channelAddress;
    private boolean connecting;
    private boolean replacing;
    private OptionalLong peerIncarnation = OptionalLong.empty();
    private boolean closed;
    private long probedNanos;
    private long backoffNanos;
    private long nextAttemptNanos;

    PeerLink(
            String instance,
            Bootstrap bootstrap,
            PeerAddresses addresses,
            Hello hello,
            PendingRequests pending,
            NanoClock clock) {
        this.instance = instance;
        this.bootstrap = bootstrap;
        this.addresses = addresses;
        this.hello = hello;
        this.pending = pending;
        this.clock = clock;
        this.probedNanos = clock.nanoTime() - QUIET_NANOS;
    }

    /** Sends a one-way message, or drops it if the peer cannot be reached. */
    void send(Message message) {
        final CompletableFuture<Channel> ready = new CompletableFuture<>();
        ready.thenAccept(
                open -> {
                    open.writeAndFlush(
                            new Frame(FrameKind.ONE_WAY, 0, message), open.voidPromise());
                    probeIfQuiet(open);
                });
        acquireChannel(ready);
    }

    /** Sends a request; the answer fails if the peer cannot be reached. */
    void request(Message message, CompletableFuture<Message> answer) {
        final CompletableFuture<Channel> ready = new CompletableFuture<>();
        ready.whenComplete(
                (open, failure) -> {
                    if (failure != null) {
                        answer.completeExceptionally(failure);
                    } else {
                        request(open, message, answer);
                    }
                });
        acquireChannel(ready);
    }

    private void request(Channel open, Message message, CompletableFuture<Message> answer) {
        final PeerConnection connection = open.pipeline().get(PeerConnection.class);
        if (connection == null) {
            answer.completeExceptionally(unreachable());
            return;
        }
        final long correlation = pending.register(connection, answer);
        final long sentNanos = clock.nanoTime();
        answer.whenComplete(
                (ignored, failure) -> {
                    if (isTimeout(failure)) {
                        requestTimedOut(connection, sentNanos);
                    }
                });
        open.writeAndFlush(new Frame(FrameKind.REQUEST, correlation, message))
                .addListener(
                        written -> {
                            if (!written.isSuccess()) {
                                answer.completeExceptionally(unreachable());
                            }
                        });
    }

    /**
     * Handles that the peer opened a connection: it can be reached now, and what made it open one
     * may have ended the connection to it as well. A peer that started again does not know that
     * connection.
     */
    void peerGreeted(long incarnation) {
        final Channel known;
        final boolean startedAgain;
        synchronized (this) {
            backoffNanos = 0;
            nextAttemptNanos = clock.nanoTime();
            known = channel;
            startedAgain =
                    peerIncarnation.isPresent() && peerIncarnation.getAsLong() != incarnation;
            peerIncarnation = OptionalLong.of(incarnation);
            if (startedAgain) {
                channel = null;
            }
        }
        if (known == null) {
            return;
        }
        if (startedAgain) {
            retire(known, "peer started again");
        } else {
            probeIfQuiet(known);
        }
    }

    /** Asks for a sign of the peer on a connection on which nothing has arrived for a while. */
    private void probeIfQuiet(Channel open) {
        final PeerConnection connection = open.pipeline().get(PeerConnection.class);
        final long nowNanos = clock.nanoTime();
        if (connection == null || nowNanos - connection.receivedNanos() < QUIET_NANOS) {
            return;
        }
        synchronized (this) {
            if (nowNanos - probedNanos < QUIET_NANOS) {
                return;
            }
            probedNanos = nowNanos;
        }
        final CompletableFuture<Message> answer = new CompletableFuture<>();
        request(open, hello, answer);
        open.eventLoop()
                .schedule(
                        () ->
                                answer.completeExceptionally(
                                        ResultException.of(
                                                ResultCode.PEER_TIMEOUT,
                                                instance,
                                                PROBE_TIMEOUT_MILLIS)),
                        PROBE_TIMEOUT_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    /**
     * Closes the connection. Later requests fail as unreachable, later one-way messages are
     * dropped.
     */
    void close() {
        final Channel open;
        synchronized (this) {
            closed = true;
            open = channel;
            channel = null;
        }
        if (open != null) {
            open.close();
        }
    }

    private void acquireChannel(CompletableFuture<Channel> ready) {
        final Channel open;
        ResultException refusal = null;
        InetSocketAddress connectTo = null;
        synchronized (this) {
            final InetSocketAddress address = addresses.addressOf(instance).orElse(null);
            if (channel != null && (!channel.isActive() || !channelAddress.equals(address))) {
                channel.close();
                channel = null;
            }
            open = channel;
            if (open == null) {
                if (closed || address == null) {
                    refusal = unreachable();
                } else if (connecting) {
                    refusal = enqueue(ready);
                } else if (clock.nanoTime() < nextAttemptNanos) {
                    refusal = unreachable();
                } else {
                    connecting = true;
                    refusal = enqueue(ready);
                    connectTo = address;
                }
            } else if (!open.isWritable()) {
                refusal = ResultException.of(ResultCode.PEER_QUEUE_FULL, instance);
            }
        }
        if (refusal != null) {
            ready.completeExceptionally(refusal);
        } else if (open != null) {
            ready.complete(open);
        } else if (connectTo != null) {
            connect(connectTo, false);
        }
    }

    private static boolean isTimeout(Throwable failure) {
        return failure instanceof ResultException result
                && result.code() == ResultCode.PEER_TIMEOUT;
    }

    private void requestTimedOut(PeerConnection connection, long sentNanos) {
        final long nowNanos = clock.nanoTime();
        EventLine.of("peer-unanswered")
                .with("peer", instance)
                .with("waited_ms", millisSince(sentNanos, nowNanos))
                .with("silent_ms", millisSince(connection.receivedNanos(), nowNanos))
                .with("connection_age_ms", millisSince(connection.openedNanos(), nowNanos))
                .info();
        if (connection.receivedNanos() - sentNanos < 0 && isCurrent(connection)) {
            replace();
        }
    }

    private synchronized boolean isCurrent(PeerConnection connection) {
        return channel != null && channel.pipeline().get(PeerConnection.class) == connection;
    }

    /** Opens a connection beside the present one, which it replaces if it can be opened. */
    private void replace() {
        final InetSocketAddress address;
        synchronized (this) {
            final long nowNanos = clock.nanoTime();
            if (closed
                    || channel == null
                    || connecting
                    || replacing
                    || nowNanos < nextAttemptNanos
                    || !pacing.isDue(nowNanos)) {
                return;
            }
            replacing = true;
            address = channelAddress;
        }
        connect(address, true);
    }

    private void recordReplacement(Channel replaced) {
        final PeerConnection connection = replaced.pipeline().get(PeerConnection.class);
        pacing.replaced(connection != null && connection.hasReceived(), clock.nanoTime());
    }

    private void retire(Channel replaced, String reason) {
        EventLine.of("peer-connection-retired")
                .with("peer", instance)
                .with("reason", reason)
                .info();
        RetiredConnection.closeWhenUnused(replaced, pending);
    }

    private static long millisSince(long nanos, long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - nanos);
    }

    private ResultException enqueue(CompletableFuture<Channel> ready) {
        if (queuedActions.size() >= MAXIMUM_QUEUED_MESSAGES) {
            return ResultException.of(ResultCode.PEER_QUEUE_FULL, instance);
        }
        queuedActions.add(
                () -> {
                    final Channel open;
                    synchronized (this) {
                        open = channel;
                    }
                    if (open == null) {
                        ready.completeExceptionally(unreachable());
                    } else {
                        ready.complete(open);
                    }
                });
        return null;
    }

    private void connect(InetSocketAddress address, boolean isReplacement) {
        bootstrap
                .connect(address)
                .addListener(
                        (ChannelFuture attempt) -> {
                            if (attempt.isSuccess()) {
                                attempt.channel()
                                        .writeAndFlush(new Frame(FrameKind.ONE_WAY, 0, hello));
                            }
                            handleConnectResult(
                                    address,
                                    attempt.isSuccess() ? attempt.channel() : null,
                                    isReplacement);
                        });
    }

    /**
     * Handles the end of an attempt. Messages wait for the attempt that they began, or for one that
     * succeeds before it: a replacement that fails leaves them waiting.
     */
    private void handleConnectResult(
            InetSocketAddress address, Channel open, boolean isReplacement) {
        final Queue<Runnable> waiting = new ArrayDeque<>();
        Channel replaced = null;
        synchronized (this) {
            if (isReplacement) {
                replacing = false;
            } else {
                connecting = false;
            }
            if (open == null) {
                backoffNanos =
                        Math.min(
                                MAXIMUM_BACKOFF_NANOS,
                                Math.max(INITIAL_BACKOFF_NANOS, backoffNanos * 2));
                nextAttemptNanos = clock.nanoTime() + backoffNanos;
            } else if (closed) {
                open.close();
            } else {
                backoffNanos = 0;
                replaced = channel;
                if (replaced != null) {
                    recordReplacement(replaced);
                }
                channel = open;
                EventLine.of("peer-connected").with("peer", instance).info();
                channelAddress = address;
            }
            if (open != null || !connecting) {
                waiting.addAll(queuedActions);
                queuedActions.clear();
            }
        }
        if (replaced != null) {
            retire(replaced, "silent");
        }
        waiting.forEach(Runnable::run);
    }

    private ResultException unreachable() {
        return ResultException.of(ResultCode.PEER_UNREACHABLE, instance)
                .withExecution(Execution.NOT_RUN);
    }
}
