package org.crocushaven.protocol;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
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
 * to a maximum. Lock rank 70 guards the connection and the queue; it is not held while I/O
 * completes.
 */
final class PeerLink {
    static final int MAXIMUM_QUEUED_MESSAGES = 1_024;
    private static final long INITIAL_BACKOFF_NANOS = 50_000_000L;
    private static final long MAXIMUM_BACKOFF_NANOS = 250_000_000L;

    private final String instance;
    private final Bootstrap bootstrap;
    private final PeerAddresses addresses;
    private final Hello hello;
    private final PendingRequests pending;
    private final NanoClock clock;
    private final ReplacementPacing pacing = new ReplacementPacing();
    private final Queue<Runnable> queuedActions = new ArrayDeque<>();
    private OpenConnection connection;
    private boolean connecting;
    private boolean replacing;
    private OptionalLong peerIncarnation = OptionalLong.empty();
    private boolean closed;
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
    }

    /** Sends a one-way message, or drops it if the peer cannot be reached. */
    void send(Message message) {
        final CompletableFuture<OpenConnection> ready = new CompletableFuture<>();
        ready.thenAccept(open -> open.send(message));
        acquire(ready);
    }

    /** Sends a request; the answer fails if the peer cannot be reached. */
    void request(Message message, CompletableFuture<Message> answer) {
        final CompletableFuture<OpenConnection> ready = new CompletableFuture<>();
        ready.whenComplete(
                (open, failure) -> {
                    if (failure != null) {
                        answer.completeExceptionally(failure);
                    } else {
                        open.request(message, answer);
                    }
                });
        acquire(ready);
    }

    /**
     * Handles that the peer opened a connection: it can be reached now, and what made it open one
     * may have ended the connection to it as well. A peer that started again does not know that
     * connection.
     */
    void peerGreeted(long incarnation) {
        final OpenConnection known;
        final boolean startedAgain;
        synchronized (this) {
            backoffNanos = 0;
            nextAttemptNanos = clock.nanoTime();
            known = connection;
            startedAgain =
                    peerIncarnation.isPresent() && peerIncarnation.getAsLong() != incarnation;
            peerIncarnation = OptionalLong.of(incarnation);
            if (startedAgain) {
                connection = null;
            }
        }
        if (known == null) {
            return;
        }
        if (startedAgain) {
            known.retire("peer started again");
        } else {
            known.probeIfQuiet();
        }
    }

    /**
     * Closes the connection. Later requests fail as unreachable, later one-way messages are
     * dropped.
     */
    void close() {
        final OpenConnection open;
        synchronized (this) {
            closed = true;
            open = connection;
            connection = null;
        }
        if (open != null) {
            open.close();
        }
    }

    private void acquire(CompletableFuture<OpenConnection> ready) {
        final OpenConnection open;
        ResultException refusal = null;
        InetSocketAddress connectTo = null;
        synchronized (this) {
            final InetSocketAddress address = addresses.addressOf(instance).orElse(null);
            if (connection != null
                    && (!connection.isActive() || !connection.address().equals(address))) {
                connection.close();
                connection = null;
            }
            open = connection;
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

    /** Opens a connection beside one that leads nowhere, and replaces it if it can be opened. */
    private void replace(OpenConnection inDoubt) {
        synchronized (this) {
            final long nowNanos = clock.nanoTime();
            if (closed
                    || connection != inDoubt
                    || connecting
                    || replacing
                    || nowNanos < nextAttemptNanos
                    || !pacing.isDue(nowNanos)) {
                return;
            }
            replacing = true;
        }
        connect(inDoubt.address(), true);
    }

    private ResultException enqueue(CompletableFuture<OpenConnection> ready) {
        if (queuedActions.size() >= MAXIMUM_QUEUED_MESSAGES) {
            return ResultException.of(ResultCode.PEER_QUEUE_FULL, instance);
        }
        queuedActions.add(
                () -> {
                    final OpenConnection open;
                    synchronized (this) {
                        open = connection;
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
                        (ChannelFuture attempt) ->
                                handleConnectResult(opened(attempt, address), isReplacement));
    }

    private OpenConnection opened(ChannelFuture attempt, InetSocketAddress address) {
        if (!attempt.isSuccess()) {
            return null;
        }
        return OpenConnection.greet(
                        instance, address, attempt.channel(), hello, pending, clock, this::replace)
                .orElse(null);
    }

    /**
     * Handles the end of an attempt. Messages wait for the attempt that they began, or for one that
     * succeeds before it: a replacement that fails leaves them waiting.
     */
    private void handleConnectResult(OpenConnection open, boolean isReplacement) {
        final Queue<Runnable> waiting = new ArrayDeque<>();
        OpenConnection replaced = null;
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
                replaced = connection;
                if (replaced != null) {
                    pacing.replaced(replaced.hasReceived(), clock.nanoTime());
                }
                connection = open;
                EventLine.of("peer-connected").with("peer", instance).info();
            }
            if (open != null || !connecting) {
                waiting.addAll(queuedActions);
                queuedActions.clear();
            }
        }
        if (replaced != null) {
            replaced.retire("silent");
        }
        waiting.forEach(Runnable::run);
    }

    private ResultException unreachable() {
        return ResultException.of(ResultCode.PEER_UNREACHABLE, instance)
                .withExecution(Execution.NOT_RUN);
    }
}
