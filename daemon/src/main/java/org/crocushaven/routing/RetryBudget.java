package org.crocushaven.routing;

import java.util.HashMap;
import java.util.Map;
import org.crocushaven.admission.TokenBucket;

/**
 * Limits retries to a fraction of the requests, per organisation and in total.
 *
 * <p>Each request adds a fraction of a retry to the budget of its organisation and to the total; a
 * retry takes 1 from both. A small constant refill lets organisations with little traffic retry at
 * all. Not thread-safe.
 */
public final class RetryBudget {
    private static final double REFILL_PER_SECOND = 0.5;
    private static final double ORGANISATION_CAPACITY = 10;
    private static final double TOTAL_CAPACITY = 50;

    private final double retriesPerRequest;
    private final TokenBucket total;
    private final Map<String, TokenBucket> organisations = new HashMap<>();

    private RetryBudget(double retriesPerRequest, long nowNanos) {
        this.retriesPerRequest = retriesPerRequest;
        this.total =
                TokenBucket.create(REFILL_PER_SECOND, TOTAL_CAPACITY, TOTAL_CAPACITY, nowNanos);
    }

    /** Returns a budget to which each request adds the given fraction of a retry. */
    public static RetryBudget create(double retriesPerRequest, long nowNanos) {
        return new RetryBudget(retriesPerRequest, nowNanos);
    }

    /** Records a first attempt. */
    public void recordRequest(String organisation, long nowNanos) {
        total.add(retriesPerRequest, nowNanos);
        bucket(organisation, nowNanos).add(retriesPerRequest, nowNanos);
    }

    /** Takes a retry and returns true if both budgets allow it. */
    public boolean tryRetry(String organisation, long nowNanos) {
        final TokenBucket bucket = bucket(organisation, nowNanos);
        if (total.level(nowNanos) < 1 || bucket.level(nowNanos) < 1) {
            return false;
        }
        return total.tryTake(1, nowNanos) && bucket.tryTake(1, nowNanos);
    }

    private TokenBucket bucket(String organisation, long nowNanos) {
        return organisations.computeIfAbsent(
                organisation,
                name ->
                        TokenBucket.create(
                                REFILL_PER_SECOND,
                                ORGANISATION_CAPACITY,
                                ORGANISATION_CAPACITY,
                                nowNanos));
    }
}
