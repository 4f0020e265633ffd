package org.crocushaven.fleet;

/** What a backend server says of itself. */
public enum BackendState {
    /** Takes requests. */
    READY,
    /** Finishes what it has and takes no new requests. */
    DRAINING,
    /** Has ended, or is about to. */
    GONE
}
