package org.crocushaven.ingress;

import java.util.List;

/**
 * Defines which requests a route accepts and how they are served.
 *
 * @param name name of the route
 * @param host host of the requests
 * @param pathPrefix prefix of their paths; begins and ends with a slash
 * @param kind how often a request may run
 * @param timeoutMillis maximum time until the answer is complete
 * @param objectiveMillis latency objective for an answer or its first event; a later one has less
 *     than its full value
 * @param pauseMillis maximum pause between two events of a stream; after a longer one the answer
 *     counts as late
 * @param priority priority; 0 is the highest
 * @param targets services with their weights, whose sum must be greater than 0
 * @param maximumAttempts maximum number of backend servers to which one request may be sent
 * @param open whether requests need no key
 * @param resumable whether a broken stream may resume at another backend server
 * @param allowedRegions regions in which its requests may run; empty for all
 */
public record IngressRoute(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        long timeoutMillis,
        long objectiveMillis,
        long pauseMillis,
        int priority,
        List<WeightedService> targets,
        int maximumAttempts,
        boolean open,
        boolean resumable,
        List<String> allowedRegions) {
    public IngressRoute {
        targets = List.copyOf(targets);
        allowedRegions = List.copyOf(allowedRegions);
    }

    /** Returns whether a request of this route may be sent again after a send that may have run. */
    public boolean isRetryable() {
        return kind == RouteKind.IDEMPOTENT || kind == RouteKind.STREAM && resumable;
    }

    /**
     * Returns the service for a request, chosen by weight.
     *
     * @param point position of the request in the range of the weights, from 0 (inclusive) to 1
     *     (exclusive)
     */
    public String serviceAt(double point) {
        double total = 0;
        for (final WeightedService target : targets) {
            total += target.weight();
        }
        double left = point * total;
        for (final WeightedService target : targets) {
            left -= target.weight();
            if (left < 0) {
                return target.service();
            }
        }
        return targets.get(targets.size() - 1).service();
    }
}
