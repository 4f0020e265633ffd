package org.crocushaven.operator;

import java.util.concurrent.CompletableFuture;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/** Returns the decisions taken for a request. */
final class ExplainRoute implements OperatorRoute {
    private final Explanations explanations;

    ExplainRoute(Explanations explanations) {
        this.explanations = explanations;
    }

    @Override
    public CompletableFuture<OperatorResponse> answer(OperatorCall call, String name) {
        return explanations
                .explain(name)
                .thenApply(
                        found ->
                                found.map(OperatorResponse::json)
                                        .orElseThrow(
                                                () ->
                                                        ResultException.of(
                                                                ResultCode.UNKNOWN_REQUEST, name)));
    }
}
