package org.crocushaven.forwarding;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.EpochClock;
import org.crocushaven.network.SuspensionDetector;

/**
 * Tracks the age of the control state against which keys are checked.
 *
 * <p>The age counts from the time at which the answered report was sent, so the leader's state is
 * at least as recent as that. Not thread-safe.
 */
final class ControlFreshness {
    private final long maximumAgeNanos;
    private final SuspensionDetector suspension;
    private final EpochClock epochClock;
    private final long createdNanos;
    private boolean confirmed;
    private long confirmedNanos;
    private long invalidatedNanos = Long.MIN_VALUE;

    private ControlFreshness(
            long maximumAgeNanos,
            SuspensionDetector suspension,
            EpochClock epochClock,
            long createdNanos) {
        this.maximumAgeNanos = maximumAgeNanos;
        this.suspension = suspension;
        this.epochClock = epochClock;
        this.createdNanos = createdNanos;
    }

    /**
     * Returns a tracker to which no control state is fresh until the first confirmation.
     *
     * @param maximumAgeMillis age from which on the control state is no longer fresh
     * @param epochClock wall clock, used to detect suspensions
     * @param nowNanos time of creation, from which an outage counts until the leader's first answer
     */
    static ControlFreshness ofMillis(long maximumAgeMillis, EpochClock epochClock, long nowNanos) {
        return new ControlFreshness(
                TimeUnit.MILLISECONDS.toNanos(maximumAgeMillis),
                new SuspensionDetector(),
                epochClock,
                nowNanos);
    }

    /** Records that the leader answered a report sent at the given time. */
    void confirm(long sentNanos) {
        final boolean sentSinceInvalidation =
                invalidatedNanos == Long.MIN_VALUE || sentNanos - invalidatedNanos > 0;
        if (sentSinceInvalidation && (!confirmed || sentNanos - confirmedNanos > 0)) {
            confirmed = true;
            confirmedNanos = sentNanos;
        }
    }

    /**
     * Discards all confirmations. Reports that were sent before the given time confirm nothing,
     * even if they are answered later.
     */
    void invalidate(long nowNanos) {
        confirmed = false;
        invalidatedNanos = nowNanos;
    }

    /** Returns whether the control state is fresh enough to serve keyed requests. */
    boolean isFresh(long nowNanos) {
        if (suspension.wasSuspended(nowNanos, epochClock.time())) {
            invalidate(nowNanos);
        }
        return confirmed && nowNanos - confirmedNanos < maximumAgeNanos;
    }

    /** Returns the age of the control state in milliseconds; -1 when it has no confirmation. */
    long ageMillis(long nowNanos) {
        return confirmed ? TimeUnit.NANOSECONDS.toMillis(nowNanos - confirmedNanos) : -1;
    }

    /**
     * Returns how long a client should wait before a retry when no fresh control state is known.
     */
    Duration retryDelay(long nowNanos) {
        if (!confirmed && invalidatedNanos != Long.MIN_VALUE) {
            return LeaderReturnEstimate.untilNextAnswer();
        }
        return confirmed
                ? LeaderReturnEstimate.untilAnswer(ageMillis(nowNanos))
                : LeaderReturnEstimate.untilFirstAnswer(
                        TimeUnit.NANOSECONDS.toMillis(nowNanos - createdNanos));
    }
}
