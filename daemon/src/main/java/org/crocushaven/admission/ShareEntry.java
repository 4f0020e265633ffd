package org.crocushaven.admission;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * A holder's report on its bucket for one organisation.
 *
 * @param organisation the organisation
 * @param tokensPerSecond rate of the bucket
 * @param capacity capacity of the bucket
 * @param level tokens in the bucket
 * @param demand recent usage in tokens per second, without the refused requests in {@code
 *     missingTokens}
 * @param missingTokens tokens missing for the requests refused since the last report; 0 if none are
 * @param largestRequest largest number of tokens that a request asked for recently; decays with
 *     each report
 * @param refused number of requests refused since the holder was created
 * @param returnedTokens tokens returned to the pool when the last grant was applied
 * @param refund unused tokens of settled charges handed over when the last grant was applied
 * @param refundSinceNanos a time on the allocator's clock at or before the earliest charge of the
 *     refund
 * @param pendingRefund unused tokens of settled charges that wait for the next grant
 * @param returningTokens tokens of refused requests that take up streams, were told to come back
 *     and are not due yet; 0 from software without this component
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ShareEntry(
        String organisation,
        double tokensPerSecond,
        double capacity,
        double level,
        double demand,
        double missingTokens,
        double largestRequest,
        long refused,
        double returnedTokens,
        double refund,
        long refundSinceNanos,
        double pendingRefund,
        double returningTokens) {}
