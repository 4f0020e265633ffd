package org.crocushaven.forwarding;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.EpochClock;
import org.crocushaven.network.SuspensionDetector;

/**
 * The age of the control state by which keys are checked.
 *
 * <p>It counts from the sending of the report that the leader answered, so that the state was the
 * leader's at that time or later. Not thread-safe.
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
     * Returns a freshness that has lapsed until the first confirmation.
     *
     * @param boundMillis longest age that is fresh
     * @param epochClock the time of day, by which suspensions are noticed
     * @param nowNanos time of its creation, since when the leader has not answered
     */
    static ControlFreshness ofMillis(long boundMillis, EpochClock epochClock, long nowNanos) {
        return new ControlFreshness(
                TimeUnit.MILLISECONDS.toNanos(boundMillis),
                new SuspensionDetector(),
                epochClock,
                nowNanos);
    }

    /** Notes that the leader answered a report sent at the given time. */
    void confirmed(long sentNanos) {
        final boolean sinceLapse = lapsedNanos == Long.MIN_VALUE || sentNanos - lapsedNanos > 0;
        if (sinceLapse && (!confirmed || sentNanos - confirmedNanos > 0)) {
            confirmed = true;
            confirmedNanos = sentNanos;
        }
    }

    /** Forgets all confirmations of reports sent until now. */
    void lapse(long nowNanos) {
        confirmed = false;
        lapsedNanos = nowNanos;
    }

    /** Returns whether the control state is fresh enough to serve by. */
    boolean isFresh(long nowNanos) {
        if (suspension.wasSuspended(nowNanos, epochClock.time())) {
            lapse(nowNanos);
        }
        return confirmed && nowNanos - confirmedNanos < boundNanos;
    }

    /** Returns its age in milliseconds; -1 when it was never confirmed. */
    long ageMillis(long nowNanos) {
        return confirmed ? TimeUnit.NANOSECONDS.toMillis(nowNanos - confirmedNanos) : -1;
    }

    /** Returns when a caller who is refused for want of a leader should come back. */
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
