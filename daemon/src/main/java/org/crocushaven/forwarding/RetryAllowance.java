package org.crocushaven.forwarding;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the number of retries of this gateway for each service.
 *
 * <p>Each first send to a service adds a fraction of a retry to the service's budget. The budget is
 * capped at this gateway's share of the additional retries allowed to the whole fleet, so that the
 * fleet keeps its limit in every window without coordination. Not thread-safe.
 */
final class RetryAllowance {
    /**
     * Fraction of the configured ratio and additional retries that is used; the rest is a reserve
     * for requests that are counted elsewhere.
     */
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
     * Returns a budget that is full.
     *
     * @param ratio retries for each first send
     * @param extra additional retries allowed to the whole fleet in one window
     */
    static RetryAllowance of(double ratio, double extra) {
        return new RetryAllowance(ratio, extra);
    }

    /** Sets the number of gateways that share the additional retries. */
    void gateways(int count) {
        gateways = Math.max(1, count);
    }

    /** Counts a first send. */
    void sent(String service) {
        earned.put(service, Math.min(bound(), level(service) + ratio * USED_PART));
    }

    /** Takes one retry from a service's budget; returns whether one was left. */
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
