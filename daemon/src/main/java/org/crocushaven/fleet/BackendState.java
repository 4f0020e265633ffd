package org.crocushaven.fleet;

/** The state that a backend server reports. */
public enum BackendState {
    /** Accepts requests. */
    READY,
    /** Completes its running requests and accepts no new ones. */
    DRAINING,
    /** Has ended, or is about to. */
    GONE
}
