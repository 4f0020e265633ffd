package org.crocushaven.serving;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.configuration.AdapterVersion;
import org.crocushaven.dispatch.PermitAnswer;
import org.crocushaven.dispatch.PermitAsk;
import org.crocushaven.dispatch.PermitCancel;
import org.crocushaven.dispatch.PermitQuery;
import org.crocushaven.dispatch.PermitReturn;
import org.crocushaven.dispatch.PermitsHeld;
import org.crocushaven.placement.PermitOutcome;
import org.crocushaven.protocol.Message;
import org.crocushaven.protocol.PeerTransport;
import org.crocushaven.result.Execution;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Requests permits from dispatchers, and keeps the permits that this instance holds.
 *
 * <p>Thread-safe. A pending request fails as soon as its dispatcher is suspected, so that another
 * backend server can be tried.
 */
public final class PermitClient {
    private static final long ANSWER_MARGIN_NANOS = 100_000_000L;

    private final PeerTransport transport;
    private final FleetView fleet;
    private final NanoClock clock;
    private final Map<String, PendingRequest> pendingRequests = new ConcurrentHashMap<>();
    private final Map<String, GrantedPermit> grantedPermits = new ConcurrentHashMap<>();

    private PermitClient(PeerTransport transport, FleetView fleet, NanoClock clock) {
        this.transport = transport;
        this.fleet = fleet;
        this.clock = clock;
    }

    /** Returns a client without permits. */
    public static PermitClient create(PeerTransport transport, FleetView fleet, NanoClock clock) {
        return new PermitClient(transport, fleet, clock);
    }

    /**
     * Requests a permit from a dispatcher and completes with its answer. Fails with execution
     * {@code NOT_RUN} when the dispatcher cannot be reached.
     */
    CompletableFuture<PermitAnswer> requestPermit(String dispatcher, PermitAsk ask) {
        final CompletableFuture<PermitAnswer> result = new CompletableFuture<>();
        pendingRequests.put(ask.requestId(), new PendingRequest(dispatcher, ask, result));
        final long timeoutNanos = Math.max(0, ask.remainingNanos()) + ANSWER_MARGIN_NANOS;
        transport
                .request(dispatcher, ask, Duration.ofNanos(timeoutNanos))
                .whenComplete((answer, failure) -> handleAnswer(dispatcher, ask, answer));
        return result;
    }

    /**
     * Cancels a permit request that is not answered yet, and with it a grant that is in flight; has
     * no effect after the answer.
     */
    void cancel(String backendServer, String requestId) {
        final PendingRequest pending = pendingRequests.remove(requestId);
        if (pending != null) {
            transport.send(pending.dispatcher, new PermitCancel(backendServer, requestId));
        }
    }

    /** Returns a permit to the current dispatcher of its backend server. */
    void returnPermit(String requestId, PermitOutcome outcome) {
        final GrantedPermit permit = grantedPermits.remove(requestId);
        if (permit != null) {
            dispatcherOf(permit.backendServer)
                    .ifPresent(
                            dispatcher ->
                                    transport.send(
                                            dispatcher,
                                            new PermitReturn(
                                                    permit.backendServer, requestId, outcome)));
        }
    }

    /** Fails the pending requests to a dispatcher that has stopped answering. */
    public void dispatcherSuspected(String dispatcher) {
        List.copyOf(pendingRequests.values()).stream()
                .filter(pending -> pending.dispatcher.equals(dispatcher))
                .forEach(
                        pending -> {
                            cancel(pending.message.backendServer(), pending.message.requestId());
                            pending.result.completeExceptionally(unreachable(dispatcher));
                        });
    }

    /** Registers the handler of permit queries; must be called before the transport listens. */
    public void attach() {
        transport.registerHandler(
                PermitQuery.class,
                (sender, query) ->
                        CompletableFuture.completedFuture(listPermits(query.backendServer())));
    }

    /** Returns the number of permits held. */
    public int heldCount() {
        return grantedPermits.size();
    }

    /**
     * Lists the pending requests before the permits, so that a request which is granted in between
     * appears in at least one of the lists.
     */
    private PermitsHeld listPermits(String backendServer) {
        final long nowNanos = clock.nanoTime();
        final List<String> pending =
                pendingRequests.values().stream()
                        .map(PendingRequest::message)
                        .filter(ask -> ask.backendServer().equals(backendServer))
                        .map(PermitAsk::requestId)
                        .toList();
        final List<PermitsHeld.HeldPermit> permits =
                grantedPermits.entrySet().stream()
                        .filter(entry -> entry.getValue().backendServer.equals(backendServer))
                        .map(
                                entry ->
                                        new PermitsHeld.HeldPermit(
                                                entry.getKey(),
                                                entry.getValue().version,
                                                entry.getValue().deadlineNanos - nowNanos))
                        .toList();
        return new PermitsHeld(permits, pending);
    }

    private void handleAnswer(String dispatcher, PermitAsk ask, Message message) {
        final boolean granted =
                message instanceof PermitAnswer answer && answer.code() == ResultCode.OK.number();
        if (granted && pendingRequests.containsKey(ask.requestId())) {
            grantedPermits.put(
                    ask.requestId(),
                    new GrantedPermit(
                            ask.backendServer(),
                            ask.version(),
                            clock.nanoTime() + ask.remainingNanos()));
        }
        final PendingRequest request = pendingRequests.remove(ask.requestId());
        if (request == null) {
            grantedPermits.remove(ask.requestId());
            if (granted) {
                transport.send(dispatcher, new PermitCancel(ask.backendServer(), ask.requestId()));
            }
            return;
        }
        if (!(message instanceof PermitAnswer answer)) {
            transport.send(dispatcher, new PermitCancel(ask.backendServer(), ask.requestId()));
            request.result.completeExceptionally(unreachable(dispatcher));
            return;
        }
        request.result.complete(answer);
    }

    private Optional<String> dispatcherOf(String backendServer) {
        return Optional.ofNullable(fleet.assignments().get(backendServer))
                .map(assignment -> assignment.dispatcher());
    }

    private static ResultException unreachable(String dispatcher) {
        return ResultException.of(ResultCode.PEER_UNREACHABLE, dispatcher)
                .withExecution(Execution.NOT_RUN);
    }

    private record PendingRequest(
            String dispatcher, PermitAsk message, CompletableFuture<PermitAnswer> result) {}

    private record GrantedPermit(
            String backendServer, Optional<AdapterVersion> version, long deadlineNanos) {}
}
