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
    private final long boundNanos;
    private final SuspensionDetector suspension;
    private final EpochClock epochClock;
    private final long createdNanos;
    private boolean confirmed;
    private long confirmedNanos;
    private long lapsedNanos = Long.MIN_VALUE;

    private ControlFreshness(
            long boundNanos,
            SuspensionDetector suspension,
            EpochClock epochClock,
            long createdNanos) {
        this.boundNanos = boundNanos;
        this.suspension = suspension;
        this.epochClock = epochClock;
        this.createdNanos = createdNanos;
    }

    /**
     * Returns an instance that is not fresh until the first confirmation.
     *
     * @param boundMillis age from which on the control state is no longer fresh
     * @param epochClock wall clock, used to detect suspensions
     * @param nowNanos time of creation, since when the leader has not answered
     */
    static ControlFreshness ofMillis(long boundMillis, EpochClock epochClock, long nowNanos) {
        return new ControlFreshness(
                TimeUnit.MILLISECONDS.toNanos(boundMillis),
                new SuspensionDetector(),
                epochClock,
                nowNanos);
    }

    /** Records that the leader answered a report sent at the given time. */
    void confirmed(long sentNanos) {
        final boolean sinceLapse = lapsedNanos == Long.MIN_VALUE || sentNanos - lapsedNanos > 0;
        if (sinceLapse && (!confirmed || sentNanos - confirmedNanos > 0)) {
            confirmed = true;
            confirmedNanos = sentNanos;
        }
    }

    /** Discards all confirmations, and later ones of reports sent before now. */
    void lapse(long nowNanos) {
        confirmed = false;
        lapsedNanos = nowNanos;
    }

    /** Returns whether the control state is fresh enough to serve keyed requests. */
    boolean isFresh(long nowNanos) {
        if (suspension.wasSuspended(nowNanos, epochClock.time())) {
            lapse(nowNanos);
        }
        return confirmed && nowNanos - confirmedNanos < boundNanos;
    }

    /** Returns the age of the control state in milliseconds; -1 when it has no confirmation. */
    long ageMillis(long nowNanos) {
        return confirmed ? TimeUnit.NANOSECONDS.toMillis(nowNanos - confirmedNanos) : -1;
    }

    /**
     * Returns how long a client should wait before a retry when no fresh control state is known.
     */
    Duration untilAnswer(long nowNanos) {
        if (!confirmed && lapsedNanos != Long.MIN_VALUE) {
            return LeaderForecast.untilNextReport();
        }
        return confirmed
                ? LeaderForecast.untilAnswer(ageMillis(nowNanos))
                : LeaderForecast.untilFirstAnswer(
                        TimeUnit.NANOSECONDS.toMillis(nowNanos - createdNanos));
    }
}
