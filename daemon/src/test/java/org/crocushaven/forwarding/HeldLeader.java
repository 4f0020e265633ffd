package org.crocushaven.forwarding;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import org.crocushaven.fleet.AdapterGrant;
import org.crocushaven.fleet.AdapterRequest;
import org.crocushaven.fleet.StreamOriginAnswer;
import org.crocushaven.fleet.StreamOriginQuery;

/** Leaves what requests ask of the leader to the test. Used on one event loop only. */
final class HeldLeader implements LeaderRequests {
    private final Deque<CompletableFuture<AdapterGrant>> grants = new ArrayDeque<>();
    private final Deque<CompletableFuture<StreamOriginAnswer>> origins = new ArrayDeque<>();
    private final Deque<Runnable> actions = new ArrayDeque<>();

    @Override
    public CompletableFuture<AdapterGrant> requestAdapter(AdapterRequest request) {
        final CompletableFuture<AdapterGrant> held = new CompletableFuture<>();
        grants.add(held);
        return held;
    }

    @Override
    public CompletableFuture<StreamOriginAnswer> findStreamOrigin(StreamOriginQuery query) {
        final CompletableFuture<StreamOriginAnswer> held = new CompletableFuture<>();
        origins.add(held);
        return held;
    }

    @Override
    public void afterNextReport(Runnable action) {
        actions.add(action);
    }

    /** Returns how many answers of the leader are awaited. */
    int awaited() {
        return grants.size() + origins.size() + actions.size();
    }

    /** Answers the oldest request for an adapter. */
    void grant(AdapterGrant grant) {
        grants.remove().complete(grant);
    }

    /** Fails the oldest question for the origin of a stream, as when no leader is reached. */
    void failOrigin(RuntimeException failure) {
        origins.remove().completeExceptionally(failure);
    }

    /** Runs the action that has waited longest for a report. */
    void reportAnswered() {
        actions.remove().run();
    }
}
