package org.crocushaven.operator;

import java.util.concurrent.CompletableFuture;

/** Returns the metrics to the platform. */
final class MetricsRoute implements OperatorRoute {
    private final MetricsSource metrics;

    MetricsRoute(MetricsSource metrics) {
        this.metrics = metrics;
    }

    @Override
    public CompletableFuture<OperatorResponse> answer(OperatorCall call, String name) {
        return CompletableFuture.completedFuture(
                OperatorResponse.ok(metrics.mediaType(), metrics.scrape()));
    }
}
