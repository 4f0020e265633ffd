package org.crocushaven.admission;

import java.util.HashMap;
import java.util.Map;

/** Detects organisations that recently took far more loads than their fair share by weight. */
final class LoadUsage {
    private static final double TIME_CONSTANT_NANOS = 10e9;
    private static final double TOLERATED_SHARE_RATIO = 1.5;
    private static final double MINIMUM_LOADS = 4;

    private final Map<String, Usage> usages = new HashMap<>();

    /** Counts a load. */
    void recordGrant(String organisation, int weight, long nowNanos) {
        final Usage usage = usages.computeIfAbsent(organisation, name -> new Usage());
        usage.loads = usage.loads(nowNanos) + 1;
        usage.updatedNanos = nowNanos;
        usage.weight = weight;
    }

    /**
     * Returns whether the share of loads of the organisation exceeds its fair share by the
     * tolerated ratio; organisations with few recent loads never do.
     */
    boolean exceedsFairShare(String organisation, long nowNanos) {
        final Usage own = usages.get(organisation);
        if (own == null || own.loads(nowNanos) < MINIMUM_LOADS) {
            return false;
        }
        double loads = 0;
        double weights = 0;
        for (final Usage usage : usages.values()) {
            loads += usage.loads(nowNanos);
            weights += usage.weight;
        }
        return own.loads(nowNanos) / loads > TOLERATED_SHARE_RATIO * own.weight / weights;
    }

    private static final class Usage {
        private double loads;
        private double weight;
        private long updatedNanos;

        private double loads(long nowNanos) {
            return loads * Math.exp((updatedNanos - nowNanos) / TIME_CONSTANT_NANOS);
        }
    }
}
