package org.crocushaven.backend;

/**
 * Limits of connections and requests to backend servers.
 *
 * @param connectTimeoutMillis maximum time to open a connection, in milliseconds
 * @param firstByteTimeoutMillis maximum time until the head of an answer arrives, in milliseconds
 * @param orderTimeoutMillis maximum time until the answer to an order is complete, in milliseconds
 * @param maximumConnectionsPerServer maximum number of open connections to one backend server
 * @param maximumHeaderBytes maximum total size of the headers of an answer, in bytes
 * @param maximumErrorBytes maximum size of the body of an error answer, which is buffered as a
 *     whole, in bytes
 */
public record BackendClientLimits(
        int connectTimeoutMillis,
        long firstByteTimeoutMillis,
        long orderTimeoutMillis,
        int maximumConnectionsPerServer,
        int maximumHeaderBytes,
        int maximumErrorBytes) {
    public static final int DEFAULT_CONNECT_TIMEOUT_MILLIS = 1_000;
    public static final long DEFAULT_FIRST_BYTE_TIMEOUT_MILLIS = 30_000;
    public static final long DEFAULT_ORDER_TIMEOUT_MILLIS = 10_000;
    public static final int DEFAULT_MAXIMUM_CONNECTIONS_PER_SERVER = 1_024;
    public static final int DEFAULT_MAXIMUM_HEADER_BYTES = 16 << 10;
    public static final int DEFAULT_MAXIMUM_ERROR_BYTES = 64 << 10;

    /** Returns the default limits. */
    public static BackendClientLimits defaults() {
        return new BackendClientLimits(
                DEFAULT_CONNECT_TIMEOUT_MILLIS,
                DEFAULT_FIRST_BYTE_TIMEOUT_MILLIS,
                DEFAULT_ORDER_TIMEOUT_MILLIS,
                DEFAULT_MAXIMUM_CONNECTIONS_PER_SERVER,
                DEFAULT_MAXIMUM_HEADER_BYTES,
                DEFAULT_MAXIMUM_ERROR_BYTES);
    }
}
