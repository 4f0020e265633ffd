package org.crocushaven.admission;

import org.crocushaven.result.ResultCode;

/** The bucket of one holder for one organisation, with the demand that the holder observed. */
final class OrganisationShare {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long MINIMUM_RETRY_NANOS = 10_000_000;
    private static final long MAXIMUM_RETRY_NANOS = 60_000_000_000L;
    private static final double LARGEST_REQUEST_DECAY = 0.9;

    private final String organisation;
    private final TokenBucket bucket;
    private final DemandMeter demand = new DemandMeter();
    private final HeadroomHistory headrooms = new HeadroomHistory();
    private final ReturnSchedule returns = new ReturnSchedule();
    private double organisationRate;
    private double organisationBurst;
    private double poolTokens;
    private long appliedNanos;
    private double refusedSinceReport;
    private double largestRequest;
    private long refused;
    private double returned;
    private double refund;
    private long refundSinceNanos;
    private double pendingRefund;
    private long pendingRefundSinceNanos;

    OrganisationShare(String organisation, long nowNanos) {
        this.organisation = organisation;
        this.bucket = TokenBucket.create(0, 0, 0, nowNanos);
    }

    /** Takes tokens and returns {@link ResultCode#OK}, or returns the reason for the refusal. */
    ResultCode tryTake(long tokens, long sequence, long nowNanos) {
        largestRequest = Math.max(largestRequest, tokens);
        if (organisationBurst > 0 && tokens > organisationBurst) {
            refused++;
            return ResultCode.REQUEST_EXCEEDS_BURST;
        }
        headrooms.record(sequence - 1, headroom(nowNanos));
        if (!bucket.tryTake(tokens, nowNanos)) {
            refused++;
            refusedSinceReport += tokens;
            return organisationBurst > 0 ? ResultCode.RATE_EXCEEDED : ResultCode.SHARE_UNAVAILABLE;
        }
        demand.add(tokens, nowNanos);
        return ResultCode.OK;
    }

    /**
     * Refunds the unused tokens of a charge that would still be in the bucket.
     *
     * @return the unused tokens that were not refunded to the bucket
     */
    double refund(long sequence, double unused, long latestSequence, long nowNanos) {
        headrooms.record(latestSequence, headroom(nowNanos));
        final double amount = Math.min(unused, headrooms.minimumSince(sequence));
        if (amount > 0) {
            bucket.add(amount, nowNanos);
            headrooms.recordRefund(sequence, amount);
        }
        return unused - Math.max(0, amount);
    }

    /** Collects unused tokens to be handed to the pool when the next grant is applied. */
    void refundToPool(double unused, long sinceNanos) {
        pendingRefundSinceNanos =
                pendingRefund == 0 ? sinceNanos : Math.min(pendingRefundSinceNanos, sinceNanos);
        pendingRefund += unused;
    }

    /** Discards unused tokens that no allocator can accept any more. */
    void discardRefunds() {
        pendingRefund = 0;
        refund = 0;
    }

    void withdrawExcessUsage(double tokens, long nowNanos) {
        bucket.withdrawUnconditionally(tokens, nowNanos);
    }

    void apply(ShareChange change, long latestSequence, long nowNanos) {
        headrooms.record(latestSequence, headroom(nowNanos));
        organisationRate = change.organisationTokensPerSecond();
        organisationBurst = change.organisationBurst();
        poolTokens = change.poolTokens();
        returns.setTokensElsewhere(change.returningTokens(), nowNanos);
        appliedNanos = nowNanos;
        final double excess = bucket.resize(change.tokensPerSecond(), change.capacity(), nowNanos);
        returned = excess + bucket.add(change.addedTokens(), nowNanos);
        headrooms.record(latestSequence, headroom(nowNanos));
        refund = pendingRefund;
        refundSinceNanos = pendingRefundSinceNanos;
        pendingRefund = 0;
    }

    /** Returns whether the last grant removed at least one token. */
    boolean hasReturnedTokens() {
        return returned >= 1;
    }

    /** Empties the bucket and returns nothing to the pool. */
    void drop(long nowNanos) {
        bucket.resize(0, 0, nowNanos);
        returned = 0;
        discardRefunds();
    }

    /**
     * Returns whether the allocator may have tokens: no limits are known, or its pool is estimated
     * not to be empty.
     */
    boolean poolMayHaveTokens(long nowNanos) {
        final double refilled = organisationRate * ((nowNanos - appliedNanos) / NANOS_PER_SECOND);
        return organisationBurst <= 0 || poolTokens + refilled > 0;
    }

    /**
     * Returns the expected time until the given tokens are available, including those of the pool.
     */
    long retryAfterNanos(long tokens, long nowNanos) {
        final double rate = Math.max(organisationRate, bucket.tokensPerSecond());
        if (rate <= 0) {
            return MINIMUM_RETRY_NANOS;
        }
        final double missing = tokens - bucket.level(nowNanos) - poolTokens;
        final long wait = (long) (missing * NANOS_PER_SECOND / rate);
        return Math.max(MINIMUM_RETRY_NANOS, Math.min(MAXIMUM_RETRY_NANOS, wait));
    }

    /**
     * Returns the time after which a request that is refused now should come back.
     *
     * @param earliestNanos time before which there are no tokens for it
     */
    long returnDelayNanos(long tokens, long earliestNanos, long nowNanos) {
        return returns.nextDelayNanos(tokens, earliestNanos, organisationRate, nowNanos);
    }

    /** Returns how many tokens are missing for the requests refused since the last report. */
    double missingTokens(long nowNanos) {
        return refusedSinceReport <= 0
                ? 0
                : Math.max(0, refusedSinceReport - Math.max(0, bucket.level(nowNanos)));
    }

    ShareEntry entry(long nowNanos) {
        final ShareEntry entry =
                new ShareEntry(
                        organisation,
                        bucket.tokensPerSecond(),
                        bucket.capacity(),
                        bucket.level(nowNanos),
                        demand.tokensPerSecond(nowNanos),
                        missingTokens(nowNanos),
                        largestRequest,
                        refused,
                        returned,
                        refund,
                        refundSinceNanos,
                        pendingRefund,
                        returns.tokensHere(nowNanos));
        refusedSinceReport = 0;
        largestRequest *= LARGEST_REQUEST_DECAY;
        return entry;
    }

    private double headroom(long nowNanos) {
        return Math.max(0, bucket.capacity() - bucket.level(nowNanos));
    }
}
