package org.crocushaven.fleet;

import java.util.concurrent.TimeUnit;

/**
 * Learns how many loads the weight store serves at full speed at the same time.
 *
 * <p>The store slows all loads in proportion once there are more. Loads that end in time while the
 * capacity is used up raise it, a load that is late lowers it. Not thread-safe.
 */
final class StoreCapacity {
    /** Loads for each engine that are assumed until the first ones have ended. */
    private static final double INITIAL_LOADS_PER_ENGINE = 0.5;

    /** Loads that even stores of few engines serve at full speed, according to the data sheets. */
    private static final double FEWEST_INITIAL_LOADS = 8;

    /** Lower bound: one engine takes as many loads at once. */
    private static final double MINIMUM_LOADS = EngineSlots.MAXIMUM_LOADING;

    /** Increase for each load in time until the first late one. */
    private static final double SEARCH_STEP = 0.15;

    /** Increase for a whole capacity of loads in time, right after a late one. */
    private static final double SLOWEST_GROWTH = 0.04;

    /** Increase for a whole capacity of loads in time, long after a late one. */
    private static final double FASTEST_GROWTH = 0.5;

    /** Time without a late load in which the growth doubles. */
    private static final double GROWTH_DOUBLING_NANOS = 4e9;

    /** Part of the capacity that remains at least after late loads of one period. */
    private static final double LOWEST_REMAINDER = 0.5;

    /** Part of the capacity that remains at most after a late load. */
    private static final double HIGHEST_REMAINDER = 0.95;

    /** Time in which loads that began before the last decrease are still late because of it. */
    private static final long SETTLING_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private double loads = FEWEST_INITIAL_LOADS;
    private boolean learned;
    private boolean searching = true;
    private double loadsAtDecrease;
    private long decreasedNanos;

    /** Sets how many engines share the store, which counts until loads have shown its capacity. */
    void setEngineCount(int engines) {
        if (!learned) {
            loads = Math.max(FEWEST_INITIAL_LOADS, engines * INITIAL_LOADS_PER_ENGINE);
        }
    }

    /** Returns the number of loads that may run at the same time. */
    int loads() {
        return (int) loads;
    }

    /**
     * Records a load that ended in time.
     *
     * @param wasUsedUp whether the capacity was used up while it ran
     */
    void endedInTime(boolean wasUsedUp, long nowNanos) {
        if (wasUsedUp) {
            learned = true;
            loads += searching ? SEARCH_STEP : growth(nowNanos) / loads;
        }
    }

    private double growth(long nowNanos) {
        final double doublings = (nowNanos - decreasedNanos) / GROWTH_DOUBLING_NANOS;
        return Math.min(FASTEST_GROWTH, SLOWEST_GROWTH * Math.pow(2, doublings));
    }

    /**
     * Records a load that had not ended after a time in which it should have.
     *
     * @param running loads that run, this one included
     * @param usualMillis duration of a load at full speed
     * @param runMillis time for which this one has run
     */
    void wasLate(int running, long usualMillis, long runMillis, long nowNanos) {
        final boolean isNewPeriod = !learned || nowNanos - decreasedNanos >= SETTLING_NANOS;
        if (searching || isNewPeriod) {
            loadsAtDecrease = loads;
            decreasedNanos = nowNanos;
        }
        learned = true;
        searching = false;
        final double shown = running * usualMillis / (double) Math.max(usualMillis, runMillis);
        final double highest = HIGHEST_REMAINDER * loadsAtDecrease;
        final double lowest = Math.max(MINIMUM_LOADS, LOWEST_REMAINDER * loadsAtDecrease);
        loads = Math.max(lowest, Math.min(Math.min(loads, highest), shown));
    }
}
