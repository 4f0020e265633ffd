package org.crocushaven.network;

import java.util.concurrent.TimeUnit;

/**
 * Detects suspensions of the machine, which the monotonic clock does not count but the wall clock
 * does.
 *
 * <p>A wall clock that is set forward looks the same as a suspension; state that depends on leases
 * is then confirmed again unnecessarily. Not thread-safe.
 */
public final class SuspensionDetector {
    /** Tolerance far above the drift between the two clocks from one check to the next. */
    private static final long TOLERATED_MILLIS = 250;

    private boolean started;
    private long offsetMillis;

    /** Returns whether the machine may have been suspended since the last call. */
    public boolean wasSuspended(long monotonicNanos, long epochMillis) {
        final long offset = epochMillis - TimeUnit.NANOSECONDS.toMillis(monotonicNanos);
        final boolean suspended = started && offset - offsetMillis > TOLERATED_MILLIS;
        started = true;
        offsetMillis = offset;
        return suspended;
    }
}
