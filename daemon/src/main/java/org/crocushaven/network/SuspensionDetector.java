package org.crocushaven.network;

import java.util.concurrent.TimeUnit;

/**
 * Tells when the machine stood still without the monotonic clock showing it.
 *
 * <p>The monotonic clock does not count a suspension, the time of day does. A time of day that is
 * set forward looks the same; what hangs on leases is then confirmed once more without need. Not
 * thread-safe.
 */
public final class SuspensionDetector {
    /** Far above the drift between the two clocks over the time between two checks. */
    private static final long TOLERATED_MILLIS = 250;

    private boolean started;
    private long offsetMillis;

    /** Returns whether the machine may have been suspended since the last call. */
    public boolean wasSuspended(long monotonicNanos, long epochMillis) {
        final long offset = epochMillis - TimeUnit.NANOSECONDS.toMillis(monotonicNanos);
        final boolean ahead = started && offset - offsetMillis > TOLERATED_MILLIS;
        started = true;
        offsetMillis = offset;
        return ahead;
    }
}
