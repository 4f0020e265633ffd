package org.crocushaven.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * When an adapter can be on its way from the weight store, and how long it then takes.
 *
 * <p>Answers many adapters that are wanted at once: the store serves so many loads at full speed,
 * and more share its speed, so that all of them come late. Here they begin one after the other in
 * the order in which they were asked for; each takes the usual time, and half of them come much
 * sooner. What engines report corrects the time. Not thread-safe.
 */
final class AdapterLoadTime {
    /** Time of a load while the store is not busy; the platform's sheet gives 250 ms. */
    private static final double USUAL_MILLIS = 252;

    /** Loads that the store serves at full speed, for each engine; the sheets give 0.8 to 1.2. */
    private static final double FULL_SPEED_PER_ENGINE = 1;

    /** What an engine reports may be older than this by its lag, in milliseconds. */
    private static final long REPORT_LAG_MILLIS = 200;

    private static final double SLOWER = 1.1;
    private static final double LARGEST_FACTOR = 1.5;
    private static final double RECOVERY = 0.97;

    /** When loads end that are under way or planned, earliest first. */
    private final Deque<Long> endNanos = new ArrayDeque<>();

    private int fullSpeed = 1;
    private double factor = 1;

    /** Sets how many engines share the store. */
    void engines(int count) {
        fullSpeed = (int) Math.max(1, count * FULL_SPEED_PER_ENGINE);
    }

    /** Returns how long a load takes from its beginning, in milliseconds. */
    long millis() {
        return Math.round(USUAL_MILLIS * factor);
    }

    /** Returns how long the next load waits for its turn, in milliseconds. */
    long untilTurnMillis(long nowNanos) {
        forgetEnded(nowNanos);
        final int before = endNanos.size() - fullSpeed;
        if (before < 0) {
            return 0;
        }
        final long turnNanos = endNanos.stream().skip(before).findFirst().orElse(nowNanos);
        return TimeUnit.NANOSECONDS.toMillis(turnNanos - nowNanos);
    }

    /** Returns whether so many loads are under way that another one might have to wait soon. */
    boolean isBusy(long nowNanos) {
        forgetEnded(nowNanos);
        return endNanos.size() * 2 >= fullSpeed;
    }

    /** Notes that a load begins at its turn. */
    void planned(long nowNanos) {
        final long lastsMillis = untilTurnMillis(nowNanos) + millis();
        endNanos.add(nowNanos + TimeUnit.MILLISECONDS.toNanos(lastsMillis));
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

    private void forgetEnded(long nowNanos) {
        while (!endNanos.isEmpty() && endNanos.peek() - nowNanos <= 0) {
            endNanos.poll();
        }
    }
}
