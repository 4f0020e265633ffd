package org.crocushaven.settings;

/**
 * Limits on the connections and requests of callers.
 *
 * @param maximumConnections maximum number of open connections
 * @param maximumBodyBytes maximum size of a request body, in bytes
 * @param maximumHeaderBytes maximum size of all headers of a request, in bytes
 * @param receiveTimeoutMillis time within which a request must arrive completely, in milliseconds
 * @param writeTimeoutMillis maximum time for which a caller may read nothing of its answer, in
 *     milliseconds
 * @param defaultDeadlineMillis deadline of a request that specifies none, in milliseconds
 * @param stopGraceMillis time for requests in flight to finish when the daemon stops, in
 *     milliseconds
 */
public record CallerLimits(
        int maximumConnections,
        int maximumBodyBytes,
        int maximumHeaderBytes,
        long receiveTimeoutMillis,
        long writeTimeoutMillis,
        long defaultDeadlineMillis,
        long stopGraceMillis) {
    public static final int DEFAULT_MAXIMUM_CONNECTIONS = 8_192;
    public static final int DEFAULT_MAXIMUM_BODY_BYTES = 1 << 20;
    public static final int DEFAULT_MAXIMUM_HEADER_BYTES = 16 << 10;
    public static final long DEFAULT_RECEIVE_TIMEOUT_MILLIS = 10_000;
    public static final long DEFAULT_WRITE_TIMEOUT_MILLIS = 15_000;
    public static final long DEFAULT_DEADLINE_MILLIS = 60_000;
    public static final long DEFAULT_STOP_GRACE_MILLIS = 30_000;

    /** Returns the default limits. */
    public static CallerLimits defaults() {
        return new CallerLimits(
                DEFAULT_MAXIMUM_CONNECTIONS,
                DEFAULT_MAXIMUM_BODY_BYTES,
                DEFAULT_MAXIMUM_HEADER_BYTES,
                DEFAULT_RECEIVE_TIMEOUT_MILLIS,
                DEFAULT_WRITE_TIMEOUT_MILLIS,
                DEFAULT_DEADLINE_MILLIS,
                DEFAULT_STOP_GRACE_MILLIS);
    }
}
