package org.crocushaven.coldstart;

/**
 * What the backend servers of a service bear while they are cold.
 *
 * @param durationMillis time for which one is cold after its start
 * @param requestsPerSecond requests that it takes in any second meanwhile, of all instances
 *     together; greater than 0
 */
public record ColdStartBound(long durationMillis, double requestsPerSecond) {
    /** Time for which a granted request may be sent, from the sending of the report that asked. */
    static final long GRANT_VALID_MILLIS = 500;

    /** Requests that are kept for gateways that report next, as seconds of the rate. */
    static final double KEPT_SECONDS = 0.25;

    /** Length of the time span in which the bound counts, in seconds. */
    private static final double SPAN_SECONDS = 1;

    private static final double MILLIS_PER_SECOND = 1_000;

    /**
     * Returns the rate at which requests are granted, so that those that may be sent within one
     * second are within the bound: granted in that second, still valid from before, and kept.
     */
    double grantedPerSecond() {
        return requestsPerSecond
                / (SPAN_SECONDS + GRANT_VALID_MILLIS / MILLIS_PER_SECOND + KEPT_SECONDS);
    }
}
