package org.crocushaven.operator;

import java.util.concurrent.CompletableFuture;

/** Answers the requests of one route. */
interface OperatorRoute {
    /**
     * Answers a request. A failure is a {@code ResultException}, thrown or set on the future.
     *
     * @param call the request
     * @param name the name captured from the path; empty if the route captures none
     */
    CompletableFuture<OperatorResponse> answer(OperatorCall call, String name);
}
