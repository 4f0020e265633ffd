package org.crocushaven.ingress;

/** How often a request of a route may run. */
public enum RouteKind {
    /** May run any number of times. */
    IDEMPOTENT,
    /** May run once at most. */
    NON_IDEMPOTENT,
    /** Answered by a series of events; may run once at most unless the route is resumable. */
    STREAM
}
