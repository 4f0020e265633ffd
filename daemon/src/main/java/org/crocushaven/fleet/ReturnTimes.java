package org.crocushaven.fleet;

import java.util.concurrent.TimeUnit;

/**
 * Tells refused requests when to come back, one after the other at the speed of the weight store,
 * so that they do not all return while it still has no room for them. Not thread-safe.
 */
final class ReturnTimes {
    /** Longest delay; it is well below a third of the shortest deadlines. */
    private static final long MAXIMUM_DELAY_MILLIS = 900;

    private long nextNanos;
    private boolean used;

    /**
     * Returns the delay after which a refused request should come back, in milliseconds.
     *
     * @param earliestMillis delay before which the store has no room for it
     * @param intervalMillis time between two loads of the store
     */
    long nextDelayMillis(long earliestMillis, long intervalMillis, long nowNanos) {
        final long earliestNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(earliestMillis);
        if (!used || nextNanos - earliestNanos < 0) {
            nextNanos = earliestNanos;
        }
        used = true;
        final long delayMillis = TimeUnit.NANOSECONDS.toMillis(nextNanos - nowNanos);
        if (delayMillis >= MAXIMUM_DELAY_MILLIS) {
            return Math.max(earliestMillis, MAXIMUM_DELAY_MILLIS);
        }
        nextNanos += TimeUnit.MILLISECONDS.toNanos(intervalMillis);
        return delayMillis;
    }
}
