package org.crocushaven.caller;

import org.crocushaven.result.ResultCode;

/** Observes the results of requests. Called on event loops; implementations must not block. */
@FunctionalInterface
public interface CallerObserver {
    /** Ignores all results. */
    CallerObserver NONE = (requestId, code, nanos) -> {};

    /**
     * Called when a request ends.
     *
     * @param requestId identifier of the request
     * @param code result of the request; {@link ResultCode#OK} for every complete answer
     * @param nanos time since the request's head was received, in nanoseconds
     */
    void ended(String requestId, ResultCode code, long nanos);
}
