package org.crocushaven.protocol;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Sends messages to instances and dispatches received messages to handlers. */
public interface PeerTransport {
    /** Sends a one-way message, which may be lost, delayed or delivered more than once. */
    void send(String instance, Message message);

    /**
     * Sends a request and returns a future of the answer. The future fails with a {@code
     * ResultException}: the failure reported by the peer, {@code PEER_UNREACHABLE}, {@code
     * PEER_TIMEOUT} or {@code PEER_QUEUE_FULL}.
     */
    CompletableFuture<Message> request(String instance, Message message, Duration timeout);

    /** Sets the handler for a message type; must be called before the transport starts. */
    <M extends Message> void registerHandler(Class<M> type, MessageHandler<M> handler);
}
