package org.crocushaven.backend;

/** A request to a backend server that is in flight. */
public interface BackendCall {
    /**
     * Cancels the request and closes its connection; an engine is sent a cancel order. The listener
     * is not called any more.
     */
    void cancel();

    /** Pauses or resumes reading the answer; used when the caller reads slowly. */
    void setReading(boolean reading);
}
