package org.crocushaven.fleet;

import java.util.Collection;
import java.util.concurrent.TimeUnit;

/**
 * Why no engine can take an adapter now, and when one may.
 *
 * @param candidates engines that serve the base model
 * @param unverified those of them whose places are not known until they have reported
 * @param crowded those to which as many adapters are on their way as they take at a time
 * @param full the rest: all their adapters are in use
 * @param retryMillis time until the first of them may take it
 */
record AdapterRefusal(int candidates, int unverified, int crowded, int full, long retryMillis) {
    /** Time within which an engine that is asked for its report has answered. */
    private static final long REPORT_MILLIS = 100;

    /** Time within which an adapter falls idle; streams take a few seconds, plain ones less. */
    private static final long IDLE_MILLIS = 300;

    /** Added to each time told, for the way back and for others who come at the same time. */
    private static final long MARGIN_MILLIS = 50;

    /** Returns why none of the given engines, which serve the base model, takes an adapter. */
    static AdapterRefusal of(Collection<PlannedEngine> engines, long nowNanos) {
        int unverified = 0;
        int crowded = 0;
        long retryMillis = IDLE_MILLIS;
        for (final PlannedEngine engine : engines) {
            if (!engine.slots().isVerified()) {
                unverified++;
                retryMillis = Math.min(retryMillis, REPORT_MILLIS);
            } else if (!engine.takesOrders(nowNanos)) {
                crowded++;
                retryMillis =
                        Math.min(
                                retryMillis,
                                TimeUnit.NANOSECONDS.toMillis(
                                        engine.slots().nextReadyNanos(nowNanos)));
            }
        }
        return new AdapterRefusal(
                engines.size(),
                unverified,
                crowded,
                engines.size() - unverified - crowded,
                retryMillis + MARGIN_MILLIS);
    }
}
