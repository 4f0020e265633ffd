package org.crocushaven.security;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.agrona.concurrent.NanoClock;

/**
 * Bounds the age of the control state that keys are checked against.
 *
 * <p>The age is counted from the sending of the request that the leader confirmed, because the
 * state was the leader's at that time or later. Thread-safe.
 */
public final class FreshnessBound {
    public static final long DEFAULT_BOUND_MILLIS = 3_000;

    private final NanoClock clock;
    private final long boundNanos;
    private final AtomicLong confirmedNanos;

    private FreshnessBound(NanoClock clock, long boundMillis) {
        this.clock = clock;
        this.boundNanos = TimeUnit.MILLISECONDS.toNanos(boundMillis);
        this.confirmedNanos = new AtomicLong(clock.nanoTime() - boundNanos);
    }

    /**
     * Returns a bound that is exceeded until the first confirmation.
     *
     * @param boundMillis age from which the control state is stale, in milliseconds
     */
    public static FreshnessBound of(NanoClock clock, long boundMillis) {
        return new FreshnessBound(clock, boundMillis);
    }

    /**
     * Records that the leader confirmed its lease and the revision that this instance has applied.
     *
     * @param nanos time on the same clock at which the confirmed request was sent
     */
    public void confirmedAt(long nanos) {
        confirmedNanos.accumulateAndGet(
                nanos, (known, candidate) -> candidate - known > 0 ? candidate : known);
    }

    /** Returns whether the control state is fresh enough to check keys. */
    public boolean isFresh() {
        return clock.nanoTime() - confirmedNanos.get() < boundNanos;
    }

    /** Returns the time since the last confirmation, in milliseconds. */
    public long ageMillis() {
        return TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - confirmedNanos.get());
    }
}
