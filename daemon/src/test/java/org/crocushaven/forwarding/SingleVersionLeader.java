package org.crocushaven.forwarding;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.crocushaven.fleet.AdapterGrant;
import org.crocushaven.fleet.AdapterRequest;
import org.crocushaven.fleet.StreamOrigin;
import org.crocushaven.fleet.StreamOriginAnswer;
import org.crocushaven.fleet.StreamOriginQuery;

/** The leader of tests whose requests need no adapter, and whose streams began at one version. */
final class SingleVersionLeader implements LeaderRequests {
    static final String VERSION = "v1";

    private boolean isLost;

    @Override
    public CompletableFuture<AdapterGrant> requestAdapter(AdapterRequest request) {
        throw new AssertionError("the requests need no adapter");
    }

    @Override
    public CompletableFuture<StreamOriginAnswer> findStreamOrigin(StreamOriginQuery query) {
        return CompletableFuture.completedFuture(
                new StreamOriginAnswer(Optional.of(new StreamOrigin(query.service(), VERSION))));
    }

    @Override
    public void afterNextReport(Runnable action) {
        if (!isLost) {
            action.run();
        }
    }

    /** Answers no report any more. */
    void lose() {
        isLost = true;
    }
}
