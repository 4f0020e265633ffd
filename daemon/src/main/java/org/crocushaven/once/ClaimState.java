package org.crocushaven.once;

/** State of a claimed call. */
public enum ClaimState {
    /** Nothing may be sent yet, so another attempt may take over. */
    CLAIMED,
    /** Bytes may have been sent. */
    SENDING,
    /** The call ran and its outcome is known. */
    FINISHED,
    /** Bytes may have been sent, and the attempt was abandoned or its session has expired. */
    UNKNOWN,
    /**
     * The attempt ended without sending; another attempt may claim the call, but this one may not.
     */
    RELEASED
}
