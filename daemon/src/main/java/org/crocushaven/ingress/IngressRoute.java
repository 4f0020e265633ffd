package org.crocushaven.ingress;

import java.util.List;

/**
 * A route: which requests it takes and how they are served.
 *
 * @param name name of the route
 * @param host host of the requests
 * @param pathPrefix beginning of their paths; begins and ends with a slash
 * @param kind how often a request may run
 * @param timeoutMillis longest time until the answer is complete
 * @param objectiveMillis time within which an answer, or its first event, has its full value
 * @param pauseMillis longest pause between two events of an answer that is on time
 * @param priority rank, 0 is the most urgent
 * @param targets services with their weights; the weights sum to more than 0
 * @param maximumAttempts most backend servers to which one request may be sent
 * @param open whether requests need no key
 * @param resumable whether a broken stream may go on at another backend server
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
        boolean resumable) {
    public IngressRoute {
        targets = List.copyOf(targets);
    }

    /** Returns whether a request of this route may run again after it may have run. */
    public boolean isRepeatable() {
        return kind == RouteKind.IDEMPOTENT || kind == RouteKind.STREAM && resumable;
    }

    /**
     * Returns the service for a request.
     *
     * @param point where the request falls among the weights, from 0 to less than 1
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
