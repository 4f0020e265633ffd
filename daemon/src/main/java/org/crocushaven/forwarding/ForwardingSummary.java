package org.crocushaven.forwarding;

import org.crocushaven.ingress.IngressRequest;
import org.crocushaven.result.ResultCode;

/**
 * Summarises the result of a request.
 *
 * @param request the request
 * @param route its route; "-" when none was found
 * @param organisation organisation that holds the request's key; "-" when there is none
 * @param configurationVersion version of the configuration that was applied
 * @param controlAgeMillis age of the control state when the request arrived; -1 when it had no
 *     confirmation
 * @param charged tokens, or requests, charged to the organisation; 0 when none were
 * @param adapterWaitMillis time spent waiting for an adapter that was loading
 * @param requestsAtBackend estimated number of requests in flight at the backend server when the
 *     request was sent
 * @param backend last backend server that was tried; "-" when there was none
 * @param softwareVersion version of its software; "-" when there was none
 * @param attempts number of sends to backend servers
 * @param status HTTP status of the answer; 0 when the client had disconnected or the stream was
 *     aborted
 * @param code result code
 * @param reason human-readable reason
 * @param retryMillis time after which a refusal told the client to come back; -1 when it did not
 * @param waitedMillis time until the first byte for the client, or until the refusal
 * @param totalMillis time until the end of the request
 * @param events number of forwarded events
 * @param longestPauseMillis longest time between two events as received by the gateway
 */
public record ForwardingSummary(
        IngressRequest request,
        String route,
        String organisation,
        long configurationVersion,
        long controlAgeMillis,
        long charged,
        long adapterWaitMillis,
        int requestsAtBackend,
        String backend,
        String softwareVersion,
        int attempts,
        int status,
        ResultCode code,
        String reason,
        long retryMillis,
        long waitedMillis,
        long totalMillis,
        long events,
        long longestPauseMillis) {}
