package org.crocushaven.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.crocushaven.backend.BackendServer;
import org.crocushaven.placement.BackendDispatcher;
import org.crocushaven.placement.BackendSummary;
import org.crocushaven.placement.DispatcherAction;
import org.crocushaven.protocol.Message;

/**
 * Holds a {@link BackendDispatcher}, its lock and the permit requests that it has not answered yet.
 *
 * <p>Lock rank 50 guards the dispatcher and the pending requests. Actions are executed after the
 * lock is released.
 */
final class HostedDispatcher {
    private final long fencingNumber;
    private final BackendDispatcher dispatcher;
    private final Consumer<DispatcherAction> actionExecutor;
    private final Map<String, CompletableFuture<Message>> pendingAnswers = new HashMap<>();
    private final Map<String, Long> lastGrantNanos = new HashMap<>();
    private final long createdNanos;
    private BackendServer server;
    private long lastReportNanos;
    private boolean drainedByOperator;
    private boolean announcedDraining;
    private boolean closed;

    HostedDispatcher(
            BackendServer server,
            long fencingNumber,
            BackendDispatcher dispatcher,
            Consumer<DispatcherAction> actionExecutor,
            long nowNanos) {
        this.server = server;
        this.fencingNumber = fencingNumber;
        this.dispatcher = dispatcher;
        this.actionExecutor = actionExecutor;
        this.createdNanos = nowNanos;
        this.lastReportNanos = nowNanos;
    }

    synchronized BackendServer server() {
        return server;
    }

    /**
     * Updates the backend server, with its address, if the given incarnation is later than the
     * known one.
     */
    void updateServer(BackendServer newServer, long nowNanos) {
        final boolean newer;
        synchronized (this) {
            newer = newServer.incarnation() > server.incarnation();
            if (newer) {
                server = newServer;
                announcedDraining = false;
            }
        }
        if (newer) {
            run(backendDispatcher -> backendDispatcher.handleServerRestart(newServer, nowNanos));
        }
    }

    long fencingNumber() {
        return fencingNumber;
    }

    long createdNanos() {
        return createdNanos;
    }

    /** Records that a holder has a permit or is being granted one. */
    synchronized void recordPermitHolder(String holder, long nowNanos) {
        lastGrantNanos.put(holder, nowNanos);
    }

    /**
     * Records that a holder reported no permit; has no effect when a permit was granted to it at or
     * after the time of the query.
     */
    synchronized void removePermitHolder(String holder, long queriedNanos) {
        lastGrantNanos.computeIfPresent(
                holder, (name, grantNanos) -> grantNanos - queriedNanos < 0 ? null : grantNanos);
    }

    synchronized boolean mayHoldPermits(String holder) {
        return lastGrantNanos.containsKey(holder);
    }

    /**
     * Passes an input to the dispatcher and executes the resulting actions; does nothing after
     * {@link #close}.
     */
    void run(Consumer<BackendDispatcher> input) {
        final List<DispatcherAction> actions;
        synchronized (this) {
            if (closed) {
                return;
            }
            input.accept(dispatcher);
            actions = dispatcher.takeActions();
        }
        actions.forEach(actionExecutor);
    }

    /** Registers a permit request; a repeated request gets the future of the first one. */
    CompletableFuture<Message> registerRequest(String requestId) {
        synchronized (this) {
            return pendingAnswers.computeIfAbsent(requestId, absent -> new CompletableFuture<>());
        }
    }

    /**
     * Removes and returns the future of a permit request; returns a new, unobserved future when
     * none is pending.
     */
    CompletableFuture<Message> takePendingAnswer(String requestId) {
        synchronized (this) {
            final CompletableFuture<Message> answer = pendingAnswers.remove(requestId);
            return answer == null ? new CompletableFuture<>() : answer;
        }
    }

    /** Records the arrival of a load report. */
    synchronized void recordReport(long nowNanos) {
        lastReportNanos = nowNanos;
    }

    /** Sets whether operators have drained the backend server. */
    synchronized void setDrainedByOperator(boolean drained) {
        drainedByOperator = drained;
    }

    /** Records that the backend server has announced that it is draining. */
    synchronized void markDraining() {
        announcedDraining = true;
    }

    /**
     * Returns whether the backend server accepts new work: load reports arrive, and neither
     * operators nor the server itself drain it.
     */
    synchronized boolean isUsable(long nowNanos, long reportTimeoutNanos) {
        return nowNanos - lastReportNanos <= reportTimeoutNanos
                && !drainedByOperator
                && !announcedDraining;
    }

    synchronized BackendSummary summary() {
        return dispatcher.summary();
    }

    /** Closes the dispatcher and returns the futures of the requests that it has not answered. */
    synchronized List<CompletableFuture<Message>> close() {
        closed = true;
        final List<CompletableFuture<Message>> unanswered =
                new ArrayList<>(pendingAnswers.values());
        pendingAnswers.clear();
        return unanswered;
    }
}
