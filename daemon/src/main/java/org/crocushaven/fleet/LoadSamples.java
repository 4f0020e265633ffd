package org.crocushaven.fleet;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Gathers loads that began after one moment, to judge the weight store by most of them instead of
 * by one. Not thread-safe.
 */
final class LoadSamples {
    /** Fewest loads that are judged together. */
    private static final int FEWEST = 8;

    /** Part of the loads that may run at once from which on they are judged. */
    private static final double SUFFICIENT_PART = 0.3;

    private final boolean bounded;
    private final long sinceNanos;
    private final Set<LoadSample> loads = new LinkedHashSet<>();

    /** Creates samples that take all loads. */
    LoadSamples() {
        this(false, 0);
    }

    private LoadSamples(boolean bounded, long sinceNanos) {
        this.bounded = bounded;
        this.sinceNanos = sinceNanos;
    }

    /** Returns samples that take the loads that begin from now on. */
    static LoadSamples since(long nowNanos) {
        return new LoadSamples(true, nowNanos);
    }

    /** Adds a load if it began late enough; one that was added before counts once. */
    void add(LoadSample load) {
        if (!bounded || load.beginNanos() - sinceNanos >= 0) {
            loads.add(load);
        }
    }

    /**
     * Returns whether there are enough of them.
     *
     * @param loadsAtOnce loads that may run at the same time
     */
    boolean suffice(int loadsAtOnce) {
        return loads.size() >= Math.max(FEWEST, SUFFICIENT_PART * loadsAtOnce);
    }

    int count() {
        return loads.size();
    }

    int lateCount() {
        return (int) loads.stream().filter(load -> load.lateMillis() > 0).count();
    }

    /** Returns the part of them that was late. */
    double latePart() {
        return lateCount() / (double) Math.max(1, count());
    }

    /** Returns the most loads that ran at once beside one of them. */
    int mostRunning() {
        return loads.stream().mapToInt(LoadSample::mostRunning).max().orElse(0);
    }

    /** Returns the median time after which the late ones had not ended; 0 if none was late. */
    long lateMillis() {
        return loads.stream()
                .mapToLong(LoadSample::lateMillis)
                .filter(millis -> millis > 0)
                .sorted()
                .skip(lateCount() / 2)
                .findFirst()
                .orElse(0);
    }
}
