package org.crocushaven.consensus;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Remembers when this instance last heard from each other one, for as long as its process runs.
 *
 * <p>Silence is counted only in time that this instance observed: a stretch between two
 * observations counts up to a bound, so that an instance that was itself frozen does not take the
 * others for silent. Not thread-safe.
 */
final class VoterEvidence {
    /** Longest time between two observations that counts; an observation is due each 200 ms. */
    private static final long LONGEST_STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final Map<String, Long> heardNanos = new HashMap<>();
    private final Map<String, Long> contactNanos = new HashMap<>();
    private long lastObservationNanos;
    private long observedNanos;

    VoterEvidence(long nowNanos) {
        this.lastObservationNanos = nowNanos;
    }

    /** Records that this instance is running and able to hear others. */
    void observe(long nowNanos) {
        observedNanos += Math.min(nowNanos - lastObservationNanos, LONGEST_STEP_NANOS);
        lastObservationNanos = nowNanos;
    }

    /** Records that an instance has just been heard from. */
    void heard(String instance, long nowNanos) {
        observe(nowNanos);
        heardNanos.put(instance, observedNanos);
    }

    /** Records the time of the last message from an instance; it counts if it is a new one. */
    void contacted(String instance, long atNanos, long nowNanos) {
        final Long known = contactNanos.put(instance, atNanos);
        if (known == null || known != atNanos) {
            heard(instance, nowNanos);
        }
    }

    /** Returns the names of all instances that were ever heard from. */
    Set<String> instances() {
        return heardNanos.keySet();
    }

    /**
     * Returns the observed time, in nanoseconds, since an instance was heard from, or since the
     * start of this process if it never was.
     */
    long silentNanos(String instance) {
        return observedNanos - heardNanos.getOrDefault(instance, 0L);
    }
}
