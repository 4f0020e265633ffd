package org.crocushaven.protocol;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.crocushaven.result.Execution;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/** Tracks the requests in flight by correlation number. Thread-safe. */
final class PendingRequests {
    private final Map<Long, PendingRequest> pending = new ConcurrentHashMap<>();
    private final AtomicLong lastCorrelation = new AtomicLong();

    /** Registers a request and returns its correlation number. */
    long register(PeerConnection connection, CompletableFuture<Message> answer) {
        final long correlation = lastCorrelation.incrementAndGet();
        pending.put(correlation, new PendingRequest(connection, answer));
        answer.whenComplete((message, failure) -> pending.remove(correlation));
        return correlation;
    }

    /**
     * Completes the request with the given correlation number. Drops the answer if there is no such
     * request or it was sent on another connection.
     */
    void complete(PeerConnection connection, long correlation, Message message) {
        final PendingRequest request = pending.get(correlation);
        if (request == null || request.connection != connection) {
            return;
        }
        if (message instanceof Failure failure) {
            request.answer.completeExceptionally(Failures.fromMessage(failure));
        } else {
            request.answer.complete(message);
        }
    }

    /** Returns whether a request is pending on the connection. */
    boolean has(PeerConnection connection) {
        return pending.values().stream().anyMatch(request -> request.connection == connection);
    }

    /** Fails all requests pending on the connection. */
    void failRequests(PeerConnection connection, String peer) {
        List.copyOf(pending.values()).stream()
                .filter(request -> request.connection == connection)
                .forEach(
                        request ->
                                request.answer.completeExceptionally(
                                        ResultException.of(ResultCode.PEER_UNREACHABLE, peer)
                                                .withExecution(Execution.UNKNOWN)));
    }

    private record PendingRequest(PeerConnection connection, CompletableFuture<Message> answer) {}
}
