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
final class ServiceRetryBudget {
    /**
     * Fraction of the configured ratio and additional retries that is used; the rest is a reserve
     * for requests that are counted outside this gateway.
     */
    private static final double USED_FRACTION = 0.8;

    private final double ratio;
    private final double extra;
    private final Map<String, Double> budgets = new HashMap<>();
    private int gateways = 1;

    private ServiceRetryBudget(double ratio, double extra) {
        this.ratio = ratio;
        this.extra = extra;
    }

    /**
     * Returns a budget that is full.
     *
     * @param ratio retries for each first send
     * @param extra additional retries allowed to the whole fleet in one window
     */
    static ServiceRetryBudget of(double ratio, double extra) {
        return new ServiceRetryBudget(ratio, extra);
    }

    /** Sets the number of gateways that share the additional retries. */
    void setGateways(int count) {
        gateways = Math.max(1, count);
    }

    /** Counts a first send. */
    void recordSend(String service) {
        budgets.put(service, Math.min(capacity(), budget(service) + ratio * USED_FRACTION));
    }

    /** Takes one retry from a service's budget; returns whether one was left. */
    boolean tryRetry(String service) {
        final double budget = Math.min(capacity(), budget(service));
        if (budget < 1) {
            return false;
        }
        budgets.put(service, budget - 1);
        return true;
    }

    /** Returns a retry that was taken but reached no backend server. */
    void returnRetry(String service) {
        budgets.put(service, Math.min(capacity(), budget(service) + 1));
    }

    private double budget(String service) {
        return budgets.getOrDefault(service, capacity());
    }

    private double capacity() {
        return Math.max(1, extra * USED_FRACTION / gateways);
    }
}
