package org.crocushaven.placement;

/**
 * Settings of a dispatcher; times are in nanoseconds.
 *
 * @param maximumQueueLength maximum number of queued requests
 * @param reportLagNanos maximum age of a load report when it arrives
 * @param redeclareWindowNanos time after a takeover in which holders may still use or re-declare
 *     permits of the earlier dispatcher; at least the session lease
 * @param orderLifetimeNanos maximum time for which an order can be in flight
 * @param expectedLoadNanos initial estimate of the duration of a load
 * @param expectedServiceNanos initial estimate of the duration of a request
 * @param batchingWaitNanos maximum wait of a request while requests for versions in use are
 *     preferred to it
 * @param loadBackoffNanos backoff after the first failed load; doubles with each further failure
 * @param maximumLoadBackoffNanos maximum backoff after failed loads
 * @param permitGraceNanos time after its deadline at which an unreturned permit counts as lost
 * @param loadRequestRetryNanos interval at which an unanswered request to the load budget is
 *     repeated
 * @param starvationNanos wait of a request for an adapter slot after which a loaded version is
 *     drained
 * @param prefetchPopularity minimum popularity at which a version is loaded into a free slot
 *     without a waiting request
 */
public record DispatcherSettings(
        int maximumQueueLength,
        long reportLagNanos,
        long redeclareWindowNanos,
        long orderLifetimeNanos,
        long expectedLoadNanos,
        long expectedServiceNanos,
        long batchingWaitNanos,
        long loadBackoffNanos,
        long maximumLoadBackoffNanos,
        long permitGraceNanos,
        long loadRequestRetryNanos,
        long starvationNanos,
        double prefetchPopularity) {
    private static final long MILLISECOND_NANOS = 1_000_000L;
    private static final DispatcherSettings DEFAULTS =
            new DispatcherSettings(
                    512,
                    1_000 * MILLISECOND_NANOS,
                    2_500 * MILLISECOND_NANOS,
                    2_000 * MILLISECOND_NANOS,
                    300 * MILLISECOND_NANOS,
                    500 * MILLISECOND_NANOS,
                    100 * MILLISECOND_NANOS,
                    500 * MILLISECOND_NANOS,
                    30_000 * MILLISECOND_NANOS,
                    2_000 * MILLISECOND_NANOS,
                    500 * MILLISECOND_NANOS,
                    500 * MILLISECOND_NANOS,
                    3.0);

    /** Returns the default settings. */
    public static DispatcherSettings defaults() {
        return DEFAULTS;
    }
}
