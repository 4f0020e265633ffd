package org.crocushaven.routing;

import java.util.List;

/**
 * The backend servers to try, best first.
 *
 * @param candidates the candidates; empty if none can be used
 * @param reason reason for the first candidate
 */
public record RoutingDecision(List<Candidate> candidates, RoutingReason reason) {
    public RoutingDecision {
        candidates = List.copyOf(candidates);
    }

    /** Returns the decision that no backend server can be used. */
    public static RoutingDecision none() {
        return new RoutingDecision(List.of(), RoutingReason.NONE);
    }

    /**
     * A backend server with the instance that dispatches for it.
     *
     * @param backendServer name of the backend server
     * @param dispatcher name of the instance
     */
    public record Candidate(String backendServer, String dispatcher) {}
}
