package org.crocushaven.forwarding;

import org.crocushaven.ingress.IngressRequest;
import org.crocushaven.result.ResultCode;

/**
 * What became of a request.
 *
 * @param request the request
 * @param route its route; "-" when none was found
 * @param organisation organisation that holds its key; "-" when none does
 * @param configurationVersion version of the configuration by which it was served
 * @param freshnessMillis age of the control state when it arrived; -1 when never confirmed
 * @param charged tokens, or requests, charged to the organisation; 0 when none were
 * @param adapterWaitMillis time waited for an adapter on its way
 * @param requestsThere requests believed to be under way at the backend server when it was sent
 * @param backend backend server that was tried last; "-" when none was
 * @param attempts sends to backend servers
 * @param status status given to the client; 0 when the client had left
 * @param code outcome
 * @param reason why, for people
 * @param waitedMillis time until the first byte for the client, or until the refusal
 * @param totalMillis time until the end
 * @param events events passed on
 * @param longestPauseMillis longest time between two events as they arrived here
 */
public record ForwardingSummary(
        IngressRequest request,
        String route,
        String organisation,
        long configurationVersion,
        long freshnessMillis,
        long charged,
        long adapterWaitMillis,
        int requestsThere,
        String backend,
        int attempts,
        int status,
        ResultCode code,
        String reason,
        long waitedMillis,
        long totalMillis,
        long events,
        long longestPauseMillis) {}
