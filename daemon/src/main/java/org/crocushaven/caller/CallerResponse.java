package org.crocushaven.caller;

import java.util.List;
import java.util.Map;
import org.crocushaven.result.ResultException;

/** Sends the answer to one request. Methods may be called on any thread, one at a time. */
public interface CallerResponse {
    /** Sends the status and headers of the answer. */
    void begin(int status, Map<String, List<String>> headers);

    /** Sends a part of the body; the array must not be modified afterwards. */
    void write(byte[] bytes);

    /** Completes the answer. */
    void end();

    /**
     * Refuses the request with problem details. If the answer has begun, ends it so that the caller
     * can detect that it is incomplete.
     */
    void refuse(ResultException refusal);

    /** Returns whether more bytes should be written; false while too many wait to be sent. */
    boolean isWritable();

    /** Sets the action that runs each time the response becomes writable again. */
    void onWritable(Runnable action);

    /** Sets the action that runs once if the connection is lost before the answer is complete. */
    void onCallerGone(Runnable action);

    /**
     * Sets the action that runs if the instance ends before the answer is complete. It refuses the
     * request; without an action the refusal states that the request may have run.
     */
    void onInstanceEnding(Runnable action);
}
