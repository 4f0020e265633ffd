package org.crocushaven.forwarding;

import java.util.concurrent.CompletableFuture;
import org.crocushaven.fleet.AdapterGrant;
import org.crocushaven.fleet.AdapterRequest;
import org.crocushaven.fleet.StreamOriginAnswer;
import org.crocushaven.fleet.StreamOriginQuery;

/** The leader of tests whose requests need nothing of it. */
final class UnaskedLeader implements LeaderRequests {
    @Override
    public CompletableFuture<AdapterGrant> requestAdapter(AdapterRequest request) {
        throw new AssertionError("the requests need no adapter");
    }

    @Override
    public CompletableFuture<StreamOriginAnswer> findStreamOrigin(StreamOriginQuery query) {
        throw new AssertionError("the requests take up no streams");
    }

    @Override
    public void afterNextReport(Runnable action) {
        action.run();
    }
}
