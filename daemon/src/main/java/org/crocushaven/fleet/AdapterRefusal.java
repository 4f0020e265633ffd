package org.crocushaven.fleet;

import java.util.Collection;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * The reason why no engine can take an adapter now, and when one may.
 *
 * @param candidates number of engines that serve the base model
 * @param unverified number of candidates whose adapters are unknown until they have reported
 * @param crowded number of candidates with the maximum number of adapter loads in flight
 * @param full number of the remaining candidates; their adapters are all in use unless a place is
 *     free
 * @param hasPlace whether a candidate could take the adapter if the weight store had room
 * @param retryMillis time until the first candidate may take the adapter, in milliseconds
 */
record AdapterRefusal(
        int candidates, int unverified, int crowded, int full, boolean hasPlace, long retryMillis) {
    /** Time within which an engine answers a request for its report. */
    private static final long REPORT_MILLIS = 100;

    /**
     * Expected time until an adapter in use becomes idle; streamed requests take a few seconds,
     * others less.
     */
    private static final long IDLE_MILLIS = 300;

    /**
     * Added to each retry time for the transfer of the answer and for concurrent requests of other
     * callers.
     */
    private static final long MARGIN_MILLIS = 50;

    /**
     * Returns why none of the given engines, which serve the base model, can take an adapter.
     *
     * @param hasPlace whether an engine that accepts loads has a place for one
     */
    static AdapterRefusal of(
            Collection<PlannedEngine> engines, Predicate<PlannedEngine> hasPlace, long nowNanos) {
        int unverified = 0;
        int crowded = 0;
        long retryMillis = IDLE_MILLIS;
        for (final PlannedEngine engine : engines) {
            if (!engine.slots().isVerified()) {
                unverified++;
                retryMillis = Math.min(retryMillis, REPORT_MILLIS);
            } else if (!engine.acceptsLoads(nowNanos)) {
                crowded++;
                retryMillis =
                        Math.min(
                                retryMillis,
                                TimeUnit.NANOSECONDS.toMillis(
                                        engine.slots().untilNextReadyNanos(nowNanos)));
            }
        }
        return new AdapterRefusal(
                engines.size(),
                unverified,
                crowded,
                engines.size() - unverified - crowded,
                engines.stream()
                        .anyMatch(engine -> engine.acceptsLoads(nowNanos) && hasPlace.test(engine)),
                retryMillis + MARGIN_MILLIS);
    }
}
