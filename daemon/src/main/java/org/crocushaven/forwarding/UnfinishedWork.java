package org.crocushaven.forwarding;

/** What a gateway leaves of a client's connection when it stops. */
public enum UnfinishedWork {
    /** A stream of which events were forwarded. */
    STREAM,
    /** A request of whose answer nothing was forwarded. */
    UNANSWERED,
    /** A request that waits for the answer to an earlier one of its connection. */
    QUEUED,
    /** A request that is not whole yet. */
    INCOMPLETE,
    /** An answer that the client has not taken. */
    UNWRITTEN
}
