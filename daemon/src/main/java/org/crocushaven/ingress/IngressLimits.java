package org.crocushaven.ingress;

/**
 * Bounds on what a client may send.
 *
 * @param maximumHeaderBytes longest head of a request
 * @param maximumBodyBytes longest body of a request
 * @param headerTimeoutMillis longest time for sending a head
 * @param idleTimeoutMillis longest time that a connection may lie idle
 */
public record IngressLimits(
        int maximumHeaderBytes,
        int maximumBodyBytes,
        long headerTimeoutMillis,
        long idleTimeoutMillis) {
    /** Bounds before the first configuration is known. */
    public static final IngressLimits DEFAULT =
            new IngressLimits(16 * 1024, 4 * 1024 * 1024, 3_000, 15_000);
}
