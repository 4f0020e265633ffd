package org.crocushaven.fleet;

import java.util.concurrent.TimeUnit;

/**
 * Learns how long a load from the weight store takes at full speed.
 *
 * <p>A store that is slower than assumed and one that is used up both make loads late. One that is
 * used up slows its loads in proportion to their number. So when loads go on to be late, fewer are
 * let begin for a moment: if these are late as well, all loads take longer. Not thread-safe.
 */
final class LoadTime {
    /** Duration that is assumed at first: 250 ms, and 3 % for one load more than at full speed. */
    static final long INITIAL_MILLIS = 258;

    /** Bounds what is learned. */
    private static final long MAXIMUM_MILLIS = 1_000;

    /** Time after which a late load is looked for again. */
    private static final long LOOK_AGAIN_MILLIS = 40;

    /** Part of the usual number of loads that may run while fewer are let begin. */
    private static final double PROBED_PART = 0.5;

    /** Part of the number of loads at the first late one up to which loads are few. */
    private static final double FEW_PART = 0.7;

    /** Late loads beside few others that show that all take longer. */
    private static final int LATE_BESIDE_FEW = 3;

    /** Time for which fewer loads are let begin: for the last ones before it, and one more load. */
    private static final long PROBE_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

    /** Time between two times in which fewer loads are let begin. */
    private static final long PROBE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(30);

    private long usualMillis = INITIAL_MILLIS;
    private boolean lateBefore;
    private long firstLateNanos;
    private int runningAtFirst;
    private boolean probed;
    private long probedNanos;
    private int lateBesideFew;

    /** Returns the duration of a load at full speed, in milliseconds. */
    long usualMillis() {
        return usualMillis;
    }

    /** Returns the part of the store's capacity that may be used now. */
    double usablePart(long nowNanos) {
        return isProbing(nowNanos) ? PROBED_PART : 1;
    }

    /**
     * Records a load that is late for the first time.
     *
     * @param beginNanos time at which it began
     * @param running most loads that have run at once beside it, itself included
     * @return whether all loads are now known to take longer
     */
    boolean late(long beginNanos, int running, long nowNanos) {
        if (!lateBefore || nowNanos - firstLateNanos >= PROBE_INTERVAL_NANOS) {
            lateBefore = true;
            firstLateNanos = nowNanos;
            runningAtFirst = running;
            probed = false;
            return false;
        }
        if (!probed && beginNanos - firstLateNanos >= 0) {
            probed = true;
            probedNanos = nowNanos;
            lateBesideFew = 0;
        }
        if (!isProbing(nowNanos)
                || running > FEW_PART * runningAtFirst
                || ++lateBesideFew < LATE_BESIDE_FEW) {
            return false;
        }
        final long runMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - beginNanos);
        usualMillis = Math.min(MAXIMUM_MILLIS, runMillis + LOOK_AGAIN_MILLIS);
        lateBefore = false;
        probed = false;
        return true;
    }

    private boolean isProbing(long nowNanos) {
        return probed && nowNanos - probedNanos < PROBE_NANOS;
    }
}
