package org.crocushaven.operator;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Returns a view of the instance's state as JSON. */
final class ViewRoute implements OperatorRoute {
    private final Supplier<?> view;

    ViewRoute(Supplier<?> view) {
        this.view = view;
    }

    @Override
    public CompletableFuture<OperatorResponse> answer(OperatorCall call, String name) {
        return CompletableFuture.completedFuture(OperatorResponse.json(view.get()));
    }
}
