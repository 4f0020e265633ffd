package org.crocushaven.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Estimates when a load from the weight store can start and how long it takes.
 *
 * <p>The store serves a limited number of concurrent loads at full speed; more loads share its
 * speed, so that all of them finish late. Loads beyond that limit are therefore queued in the order
 * in which they were requested. Each takes the usual time once it has started, so that the first
 * half of the queued loads finish much sooner than if all ran together. Reports of engines correct
 * the estimate. Not thread-safe.
 */
final class AdapterLoadTime {
    /** Duration of a load while the store is not busy; the platform's data sheet gives 250 ms. */
    private static final double USUAL_MILLIS = 252;

    /** Loads per engine that the store serves at full speed; the data sheets give 0.8 to 1.2. */
    private static final double FULL_SPEED_LOADS_PER_ENGINE = 1;

    /** Maximum age of the state in an engine's report. */
    private static final long REPORT_LAG_MILLIS = 200;

    private static final double SLOWDOWN_STEP = 1.1;
    private static final double MAXIMUM_SLOWDOWN = 1.5;
    private static final double RECOVERY_STEP = 0.97;

    /** End times of running and planned loads, earliest first. */
    private final Deque<Long> endNanos = new ArrayDeque<>();

    private int fullSpeedLoads = 1;
    private double slowdown = 1;

    /** Sets how many engines share the store. */
    void setEngineCount(int count) {
        fullSpeedLoads = (int) Math.max(1, count * FULL_SPEED_LOADS_PER_ENGINE);
    }

    /** Returns how long a load takes once it has started, in milliseconds. */
    long millis() {
        return Math.round(USUAL_MILLIS * slowdown);
    }

    /** Returns how long the next load has to wait before it can start, in milliseconds. */
    long queueDelayMillis(long nowNanos) {
        removeEnded(nowNanos);
        final int endsToSkip = endNanos.size() - fullSpeedLoads;
        if (endsToSkip < 0) {
            return 0;
        }
        final long startNanos = endNanos.stream().skip(endsToSkip).findFirst().orElse(nowNanos);
        return TimeUnit.NANOSECONDS.toMillis(startNanos - nowNanos);
    }

    /**
     * Returns whether running and planned loads use at least half of the full-speed loads, so that
     * another load might soon have to wait.
     */
    boolean isBusy(long nowNanos) {
        removeEnded(nowNanos);
        return endNanos.size() * 2 >= fullSpeedLoads;
    }

    /** Records a load that starts after the current queue delay. */
    void addLoad(long nowNanos) {
        final long durationMillis = queueDelayMillis(nowNanos) + millis();
        endNanos.add(nowNanos + TimeUnit.MILLISECONDS.toNanos(durationMillis));
        slowdown = Math.max(1, slowdown * RECOVERY_STEP);
    }

    /**
     * Updates the estimate for a load that an engine reports as still pending.
     *
     * @param overdueMillis time since the load should have ended
     * @return how much longer the load is expected to take, in milliseconds; 0 if it may have ended
     */
    long updateForPending(long overdueMillis) {
        if (overdueMillis < REPORT_LAG_MILLIS) {
            return 0;
        }
        slowdown = Math.min(MAXIMUM_SLOWDOWN, slowdown * SLOWDOWN_STEP);
        return Math.round(USUAL_MILLIS / 2);
    }

    private void removeEnded(long nowNanos) {
        while (!endNanos.isEmpty() && endNanos.peek() - nowNanos <= 0) {
            endNanos.poll();
        }
    }
}
