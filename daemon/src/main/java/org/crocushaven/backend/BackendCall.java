package org.crocushaven.backend;

/** A request to a backend server that is in flight. */
public interface BackendCall {
    /**
     * Cancels the request, or prevents it from being sent. If it is in flight, its connection is
     * closed and an engine is sent a cancel order. The cancellation runs on the connection's event
     * loop; the listener is not called after it.
     */
    void cancel();

    /** Pauses or resumes reading the answer; used when the caller reads slowly. */
    void setReading(boolean reading);
}
