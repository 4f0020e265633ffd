package org.crocushaven.forwarding;

import java.util.concurrent.CompletableFuture;
import org.crocushaven.fleet.AdapterGrant;
import org.crocushaven.fleet.AdapterRequest;
import org.crocushaven.fleet.StreamOriginAnswer;
import org.crocushaven.fleet.StreamOriginQuery;

/** Sends the requests for adapters and tokens to the leader. */
interface LeaderRequests {
    /**
     * Requests a backend server for an adapter when no known one can serve it. The future completes
     * on the event loop and fails when no leader can be reached.
     */
    CompletableFuture<AdapterGrant> requestAdapter(AdapterRequest request);

    /**
     * Asks where a stream began. The future completes on the event loop and fails when no leader
     * can be reached.
     */
    CompletableFuture<StreamOriginAnswer> findStreamOrigin(StreamOriginQuery query);

    /**
     * Brings the next report forward and runs the action after its answer, or when no answer
     * arrives in time.
     */
    void afterNextReport(Runnable action);
}
