package org.crocushaven.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * How long an adapter takes from the weight store to an engine.
 *
 * <p>Follows the loads under way: as many as the store serves at full speed take the usual time,
 * more share its speed. What engines report corrects it. Not thread-safe.
 */
final class AdapterLoadTime {
    /** Time of a load while the store is not busy; the platform's sheet gives 250 ms. */
    private static final double USUAL_MILLIS = 252;

    /** Loads that the store serves at full speed, for each engine; the sheets give 0.8 to 1.2. */
    private static final double FULL_SPEED_PER_ENGINE = 0.9;

    /** What an engine reports may be older than this by its lag, in milliseconds. */
    private static final long REPORT_LAG_MILLIS = 200;

    private static final double SLOWER = 1.1;
    private static final double LARGEST_FACTOR = 1.5;
    private static final double RECOVERY = 0.97;

    private final List<Double> remainingMillis = new ArrayList<>();
    private double fullSpeed = 1;
    private double factor = 1;
    private long advancedNanos;

    /** Sets how many engines share the store. */
    void engines(int count) {
        fullSpeed = Math.max(1, count * FULL_SPEED_PER_ENGINE);
    }

    /** Returns how long a load takes that begins now, in milliseconds. */
    long millis(long nowNanos) {
        advance(nowNanos);
        final double crowd = Math.max(1, (remainingMillis.size() + 1) / fullSpeed);
        return Math.round(USUAL_MILLIS * crowd * factor);
    }

    /** Returns whether so many loads are under way that another one would slow them soon. */
    boolean isBusy(long nowNanos) {
        advance(nowNanos);
        return remainingMillis.size() >= fullSpeed / 2;
    }

    /** Notes that a load has begun. */
    void hasBegun(long nowNanos) {
        advance(nowNanos);
        remainingMillis.add(USUAL_MILLIS);
        factor = Math.max(1, factor * RECOVERY);
    }

    /**
     * Notes that an engine reported a load as on its way.
     *
     * @param overdueMillis how long ago it should have ended
     * @return how much longer it is expected to take, in milliseconds; 0 when it may have ended
     */
    long isOnItsWay(long overdueMillis) {
        if (overdueMillis < REPORT_LAG_MILLIS) {
            return 0;
        }
        factor = Math.min(LARGEST_FACTOR, factor * SLOWER);
        return Math.round(USUAL_MILLIS / 2);
    }

    private void advance(long nowNanos) {
        double passedMillis =
                (nowNanos - advancedNanos) / (double) TimeUnit.MILLISECONDS.toNanos(1);
        advancedNanos = nowNanos;
        while (!remainingMillis.isEmpty() && passedMillis > 0) {
            final double speed = Math.min(1, fullSpeed / remainingMillis.size());
            final double least = remainingMillis.stream().min(Double::compare).get();
            final double step = Math.min(passedMillis, least / speed);
            passedMillis -= step;
            remainingMillis.replaceAll(left -> left - step * speed);
            remainingMillis.removeIf(left -> left <= 1e-6);
        }
    }
}
