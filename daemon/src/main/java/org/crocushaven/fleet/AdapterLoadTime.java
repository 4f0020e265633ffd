package org.crocushaven.fleet;

import java.util.concurrent.TimeUnit;

/**
 * How long an adapter takes from the weight store to an engine, learnt from what engines report.
 *
 * <p>Not thread-safe.
 */
final class AdapterLoadTime {
    /** Time of a load while the store is not busy; the platform's sheet gives 250 ms. */
    private static final long USUAL_NANOS = TimeUnit.MILLISECONDS.toNanos(260);

    /** Adapters on their way for each engine at which loads begin to take longer. */
    private static final double FULL_SPEED_PER_ENGINE = 0.85;

    private static final double SLOWER = 1.05;
    private static final double LARGEST_FACTOR = 4;
    private static final double RECOVERY = 0.98;

    private double factor = 1;

    /** Returns how long a load takes that begins now. */
    long nanos(double onTheirWayPerEngine) {
        final double crowd = Math.max(1, onTheirWayPerEngine / FULL_SPEED_PER_ENGINE);
        return (long) (USUAL_NANOS * crowd * factor);
    }

    /** Notes that a load has begun. */
    void hasBegun() {
        factor = Math.max(1, factor * RECOVERY);
    }

    /** Returns how much longer a load takes that should have ended. */
    long extraNanos() {
        return USUAL_NANOS / 2;
    }

    /** Notes that a load takes longer than was expected. */
    void isStillOnItsWay() {
        factor = Math.min(LARGEST_FACTOR, factor * SLOWER);
    }
}
