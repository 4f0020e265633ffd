package org.crocushaven.serving;

import org.crocushaven.result.ResultException;

/** Receives routing decisions and the outcomes of requests for logs and metrics. */
public interface ServingListener {
    /** Called when a backend server was chosen for an attempt. */
    void routed(RouteDecisionEvent decision);

    /** Called when a request was answered completely. */
    void answered(RequestSummary summary);

    /** Called when a request was refused or failed. */
    void refused(RequestSummary summary, ResultException failure);

    /**
     * Routing decision for one attempt.
     *
     * @param requestId identifier of the request
     * @param organisation the organisation; empty on open routes
     * @param service the service
     * @param model {@code adapter@version}; empty for the base model and plain services
     * @param backendServer the backend server chosen
     * @param dispatcher the instance that dispatches for it
     * @param reason why it was chosen
     * @param attempt number of the attempt, starting at 1
     */
    record RouteDecisionEvent(
            String requestId,
            String organisation,
            String service,
            String model,
            String backendServer,
            String dispatcher,
            String reason,
            int attempt) {}

    /**
     * Summary of a request that has ended.
     *
     * @param requestId identifier of the request
     * @param organisation the organisation; empty on open routes or when it was not found
     * @param service the service; empty when it was not found
     * @param model {@code adapter@version}; empty for the base model and plain services
     * @param backendServer the last backend server tried; empty when none was
     * @param attempts number of attempts
     * @param chargedTokens number of tokens charged
     * @param waitedForLoad whether it waited until its version was loaded
     * @param permitNanos time spent waiting for permits, in nanoseconds
     * @param overheadNanos time from arrival to the sending of the first attempt, less the wait for
     *     permits, in nanoseconds; -1 when nothing was sent
     * @param firstByteNanos time from arrival to the first byte of the answer, in nanoseconds; -1
     *     when there was none
     * @param totalNanos time from arrival to the end, in nanoseconds
     */
    record RequestSummary(
            String requestId,
            String organisation,
            String service,
            String model,
            String backendServer,
            int attempts,
            long chargedTokens,
            boolean waitedForLoad,
            long permitNanos,
            long overheadNanos,
            long firstByteNanos,
            long totalNanos) {}
}
