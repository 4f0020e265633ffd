package org.crocushaven.operator;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.crocushaven.status.Explanation;

/** Finds the decisions that were taken for a request. */
public interface Explanations {
    /** Returns the decisions of all instances that answer; empty if none knows the request. */
    CompletableFuture<Optional<Explanation>> explain(String requestId);
}
