package org.crocushaven.routing;

/** Reason for the choice of a backend server. */
public enum RoutingReason {
    /** The version is loaded there. */
    VERSION_LOADED,
    /** The version is loaded there and the prompt's prefix may be cached. */
    PREFIX_CACHED,
    /** The version is being loaded there. */
    VERSION_LOADING,
    /** The version is loaded elsewhere, but the compared servers are overloaded. */
    REPLICA,
    /** The version is loaded nowhere; the server is its home on the hash ring. */
    HOME,
    /** The server is the least loaded of those compared. */
    LEAST_LOADED,
    /** The server is the next one in turn. */
    NEXT_IN_TURN,
    /** No backend server can be used. */
    NONE
}
