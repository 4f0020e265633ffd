package org.crocushaven.routing;

/** Chooses backend servers from the routing table. Not thread-safe. */
public interface RoutingPolicy {
    /** Returns the backend servers to try for a request. */
    RoutingDecision choose(RouteQuery query);
}
