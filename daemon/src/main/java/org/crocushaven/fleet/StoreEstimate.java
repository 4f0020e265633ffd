package org.crocushaven.fleet;

import org.crocushaven.observability.EventLine;

/**
 * Estimates how many loads the weight store serves at full speed at once, and how long each takes
 * then.
 *
 * <p>A store with too many loads slows all of them in proportion to their number, and one that is
 * slower than assumed makes all loads late whatever their number. So a late load lowers the
 * estimate a little at once, and the loads that begin after that are judged together: if many of
 * them are late too, far fewer run for a moment. Where these are late by as much, all loads take
 * longer, and the estimate is as it was; else the store was used up. Loads in time that use the
 * estimate up raise it. Not thread-safe.
 */
final class StoreEstimate {
    /** Duration that is assumed at first: 250 ms, and 3 % for one load more than at full speed. */
    static final long INITIAL_MILLIS = 258;

    /** Time after which a late load is looked for again. */
    static final long LOOK_AGAIN_MILLIS = 40;

    /** Bounds the duration that is learned. */
    private static final long MAXIMUM_MILLIS = 1_000;

    /** Loads for each engine that are assumed until the first ones have ended. */
    private static final double INITIAL_LOADS_PER_ENGINE = 0.5;

    /** Loads that even stores of few engines serve at full speed, according to the data sheets. */
    private static final double FEWEST_INITIAL_LOADS = 8;

    /** Lower bound: one engine takes as many loads at once. */
    private static final double MINIMUM_LOADS = EngineSlots.MAXIMUM_LOADING;

    /**
     * Part of the estimate that must be in use for a late load to lower it at once; others are late
     * because of orders under way.
     */
    private static final double SHOWING_PART = 0.7;

    /**
     * Part of late loads from which on it is found out why. Many are not found late, because those
     * who wait for them look a moment after they should have ended.
     */
    private static final double LATE_PART = 1 / 3.0;

    /** Part of the late loads before that are late beside fewer others if all take longer. */
    private static final double STILL_LATE_PART = 0.5;

    /** Part of the loads that were late which run while it is found out why. */
    private static final double PROBED_PART = 0.7;

    /**
     * Part of the lateness before from which on loads beside fewer others were as late: half-way
     * between the same time and one that fell in proportion.
     */
    private static final double AS_LATE_PART = (1 + PROBED_PART) / 2;

    /** Part of the estimate that remains at least after late loads. */
    private static final double LOWEST_REMAINDER = 0.5;

    /** Part of the estimate that remains at most after a late load. */
    private static final double HIGHEST_REMAINDER = 0.95;

    /** Part that remains at most after many loads of a second moment were late as well. */
    private static final double HIGHEST_REMAINDER_AGAIN = 0.9;

    /** Increase for each load in time until the first late one. */
    private static final double SEARCH_STEP = 0.15;

    /** Part that remains at most after the first late load: as many as a round before it. */
    private static final double REMAINDER_OF_SEARCH = 1 / (1 + SEARCH_STEP);

    /** Increase for a whole estimate of loads in time, right after a late one. */
    private static final double SLOWEST_GROWTH = 0.04;

    /** Increase for a whole estimate of loads in time, long after a late one. */
    private static final double FASTEST_GROWTH = 0.5;

    /** Time without a late load in which the growth doubles. */
    private static final double GROWTH_DOUBLING_NANOS = 4e9;

    private double loads = FEWEST_INITIAL_LOADS;
    private long usualMillis = INITIAL_MILLIS;
    private boolean learned;
    private boolean searching = true;
    private long decreasedNanos;
    private Phase phase = Phase.USUAL;
    private LoadSamples samples = new LoadSamples();

    /** The estimate before the last decrease. */
    private double loadsBefore;

    /** Part of it that remains at most. */
    private double highestRemainder = HIGHEST_REMAINDER;

    /** The late loads because of which fewer run while it is found out why. */
    private LoadSamples samplesBefore = samples;

    /** Sets how many engines share the store, which counts until loads have shown its speed. */
    void setEngineCount(int engines) {
        if (!learned) {
            loads = Math.max(FEWEST_INITIAL_LOADS, engines * INITIAL_LOADS_PER_ENGINE);
        }
    }

    /** Returns the number of loads that may run at the same time. */
    int loads() {
        return (int) loads;
    }

    /** Returns the duration of a load at full speed, in milliseconds. */
    long usualMillis() {
        return usualMillis;
    }

    /**
     * Records a load that has ended, in time or late.
     *
     * @param usedUp whether as many loads ran beside it as may run
     */
    void ended(LoadSample load, boolean usedUp, long nowNanos) {
        if (usedUp && load.lateMillis() == 0 && phase == Phase.USUAL) {
            learned = true;
            loads += searching ? SEARCH_STEP : growth(nowNanos) / loads;
        }
        samples.add(load);
        if (samples.suffice(loads())) {
            judge(nowNanos);
        }
    }

    /**
     * Records that a load has not ended after a time in which it should have.
     *
     * @param running loads that run, this one included
     */
    void wasLate(LoadSample load, int running, long nowNanos) {
        if (load.lateMillis() < usualMillis) {
            return;
        }
        learned = true;
        final boolean shows = running >= SHOWING_PART * loads;
        if (phase == Phase.USUAL && shows) {
            loadsBefore = loads;
            decreasedNanos = nowNanos;
            highestRemainder = searching ? REMAINDER_OF_SEARCH : HIGHEST_REMAINDER;
            searching = false;
            enter(Phase.LOWERED, nowNanos);
        }
        if (phase == Phase.LOWERED && shows) {
            lower(load.lateMillis());
        }
    }

    /**
     * Returns by how much loads take longer if that many run. A decrease that only finds out more
     * does not count.
     */
    double slowdown(int running) {
        final boolean isShown =
                phase == Phase.USUAL
                        || phase == Phase.LOWERED && loads < highestRemainder * loadsBefore;
        return Math.max(1, running / (isShown ? loads : loadsBefore));
    }

    /** Lowers the estimate in proportion to the lateness of loads. */
    private void lower(long lateMillis) {
        final double shown = loadsBefore * usualMillis / lateMillis;
        final double highest = highestRemainder * loadsBefore;
        final double lowest = Math.max(MINIMUM_LOADS, LOWEST_REMAINDER * loadsBefore);
        loads = Math.max(lowest, Math.min(Math.min(loads, highest), shown));
    }

    private double growth(long nowNanos) {
        final double doublings = (nowNanos - decreasedNanos) / GROWTH_DOUBLING_NANOS;
        return Math.min(FASTEST_GROWTH, SLOWEST_GROWTH * Math.pow(2, doublings));
    }

    private void judge(long nowNanos) {
        if (phase == Phase.PROBING) {
            compare();
            enter(Phase.USUAL, nowNanos);
        } else if (samples.latePart() >= LATE_PART) {
            probe(nowNanos);
        } else {
            enter(Phase.USUAL, nowNanos);
        }
    }

    private void probe(long nowNanos) {
        final double fewer = PROBED_PART * samples.mostRunning();
        if (phase == Phase.USUAL) {
            loadsBefore = loads;
        }
        samplesBefore = samples;
        log("late");
        if (fewer < MINIMUM_LOADS) {
            learnTime(samples.lateMillis());
            enter(Phase.USUAL, nowNanos);
        } else {
            loads = Math.min(loads, fewer);
            decreasedNanos = nowNanos;
            enter(Phase.PROBING, nowNanos);
        }
    }

    /** Compares loads that were late with those that ran beside fewer others after them. */
    private void compare() {
        final long lateMillis = samplesBefore.lateMillis();
        final boolean areStillLate =
                samples.latePart() >= STILL_LATE_PART * samplesBefore.latePart();
        if (areStillLate && samples.lateMillis() >= AS_LATE_PART * lateMillis) {
            learnTime(samples.lateMillis());
        } else {
            loads = loadsBefore;
            highestRemainder = HIGHEST_REMAINDER_AGAIN;
            lower(lateMillis);
            log("used-up");
        }
    }

    private void learnTime(long lateMillis) {
        usualMillis = Math.min(MAXIMUM_MILLIS, lateMillis + LOOK_AGAIN_MILLIS);
        loads = loadsBefore;
        searching = true;
        log("slower");
    }

    private void enter(Phase entered, long nowNanos) {
        phase = entered;
        samples = LoadSamples.since(nowNanos);
    }

    private void log(String finding) {
        EventLine.of("store-believed")
                .with("finding", finding)
                .with("loads", loads())
                .with("usual_ms", usualMillis)
                .with("running", samples.mostRunning())
                .with("ended", samples.count())
                .with("late", samples.lateCount())
                .with("late_ms", samples.lateMillis())
                .info();
    }

    private enum Phase {
        /** Loads begin as the estimate allows; the first late one lowers it. */
        USUAL,
        /** A late load has lowered the estimate; those that began since are judged. */
        LOWERED,
        /** Many loads were late; far fewer run, to find out why. */
        PROBING
    }
}
