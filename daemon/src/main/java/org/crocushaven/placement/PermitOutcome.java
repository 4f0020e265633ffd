package org.crocushaven.placement;

/** Outcome of a permitted request at the backend server. */
public enum PermitOutcome {
    /** The answer is complete. */
    COMPLETED,
    /** No byte was sent to the backend server. */
    NOT_SENT,
    /** The backend server failed or refused the request and no longer runs it. */
    FAILED,
    /** The backend server said that the version is not loaded and did not run the request. */
    VERSION_NOT_LOADED,
    /** The request was cancelled or timed out; the backend server may still run it. */
    MAY_STILL_RUN
}
