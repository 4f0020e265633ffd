package org.crocushaven.ingress;

/**
 * Contains the limits on what a client may send.
 *
 * @param maximumHeaderBytes maximum size of a request head
 * @param maximumBodyBytes maximum size of a request body
 * @param headerTimeoutMillis maximum time for sending a request head
 * @param idleTimeoutMillis maximum time that a connection may be idle
 */
public record IngressLimits(
        int maximumHeaderBytes,
        int maximumBodyBytes,
        long headerTimeoutMillis,
        long idleTimeoutMillis) {
    /** Limits that apply before the first configuration is received. */
    public static final IngressLimits DEFAULT =
            new IngressLimits(16 * 1024, 4 * 1024 * 1024, 3_000, 15_000);
}
