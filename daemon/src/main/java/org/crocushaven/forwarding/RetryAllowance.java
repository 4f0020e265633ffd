package org.crocushaven.forwarding;

import java.util.HashMap;
import java.util.Map;

/**
 * How often this gateway may send requests once more.
 *
 * <p>Each first send to a service earns a fraction of a repeat. What is earned is kept only up to
 * this gateway's part of the repeats that the whole fleet may make besides, so that the fleet keeps
 * its bound in every window without talking. Not thread-safe.
 */
final class RetryAllowance {
    /** Part of the fraction that is used; the rest covers requests that are counted elsewhere. */
    private static final double USED_PART = 0.8;

    private final double ratio;
    private final double extra;
    private final Map<String, Double> earned = new HashMap<>();
    private int gateways = 1;

    private RetryAllowance(double ratio, double extra) {
        this.ratio = ratio;
        this.extra = extra;
    }

    /**
     * Returns an allowance that is full.
     *
     * @param ratio repeats for each first send
     * @param extra repeats that the whole fleet may make besides in one window
     */
    static RetryAllowance of(double ratio, double extra) {
        return new RetryAllowance(ratio, extra);
    }

    /** Sets among how many gateways the extra repeats are split. */
    void gateways(int count) {
        gateways = Math.max(1, count);
    }

    /** Counts a first send. */
    void sent(String service) {
        earned.put(service, Math.min(bound(), level(service) + ratio * USED_PART));
    }

    /** Takes one repeat if one is left. */
    boolean tryRepeat(String service) {
        final double level = Math.min(bound(), level(service));
        if (level < 1) {
            return false;
        }
        earned.put(service, level - 1);
        return true;
    }

    private double level(String service) {
        return earned.getOrDefault(service, bound());
    }

    private double bound() {
        return Math.max(1, extra * USED_PART / gateways);
    }
}
