package org.crocushaven.operator;

import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.crocushaven.status.Acknowledgement;

/** Runs an operation on the instance named in the path and acknowledges it when it completes. */
final class OperationRoute implements OperatorRoute {
    private final Function<String, CompletableFuture<Void>> operation;
    private final String acknowledgement;

    OperationRoute(Function<String, CompletableFuture<Void>> operation, String acknowledgement) {
        this.operation = operation;
        this.acknowledgement = acknowledgement;
    }

    @Override
    public CompletableFuture<OperatorResponse> answer(OperatorCall call, String name) {
        return operation
                .apply(name)
                .thenApply(done -> OperatorResponse.json(new Acknowledgement(acknowledgement)));
    }
}
