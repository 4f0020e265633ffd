package org.crocushaven.operator;

import java.util.concurrent.CompletableFuture;
import org.crocushaven.status.Acknowledgement;

/** Answers the liveness probe, which succeeds as long as the process runs. */
final class LiveRoute implements OperatorRoute {
    private static final String TEXT_LIVE = "live";

    @Override
    public CompletableFuture<OperatorResponse> answer(OperatorCall call, String name) {
        return CompletableFuture.completedFuture(
                OperatorResponse.json(new Acknowledgement(TEXT_LIVE)));
    }
}
