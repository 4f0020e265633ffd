package org.crocushaven.ingress;

/** Defines how often a request of a route may run. */
public enum RouteKind {
    /** May run any number of times. */
    IDEMPOTENT,
    /** May run at most once. */
    NON_IDEMPOTENT,
    /** Answered by a stream of events; may run at most once unless the route is resumable. */
    STREAM
}
