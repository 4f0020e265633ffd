package org.crocushaven.forwarding;

import java.util.concurrent.CompletableFuture;
import org.crocushaven.fleet.AdapterAsk;
import org.crocushaven.fleet.AdapterGrant;

/** What requests ask of the leader. */
interface LeaderSource {
    /**
     * Asks for a place for an adapter that no known backend server can serve; fails when no leader
     * can be reached. Completes on the event loop.
     */
    CompletableFuture<AdapterGrant> ask(AdapterAsk ask);

    /** Reports at once and runs the action after the answer, or when none comes in time. */
    void afterNextUpdate(Runnable action);
}
