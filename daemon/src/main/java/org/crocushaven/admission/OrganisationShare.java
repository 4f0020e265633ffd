package org.crocushaven.admission;

import org.crocushaven.result.ResultCode;

/** The bucket that one holder has of one organisation, with what it saw of demand. */
final class OrganisationShare {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long MINIMUM_RETRY_NANOS = 10_000_000;
    private static final long MAXIMUM_RETRY_NANOS = 60_000_000_000L;
    private static final double LARGEST_DECAY = 0.9;

    private final String organisation;
    private final TokenBucket bucket;
    private final DemandMeter demand = new DemandMeter();
    private final HeadroomHistory headrooms = new HeadroomHistory();
    private double organisationRate;
    private double organisationBurst;
    private double poolTokens;
    private long appliedNanos;
    private double refusedSinceReport;
    private double largest;
    private long refused;
    private double returned;
    private double refund;
    private long refundSinceNanos;
    private double pendingRefund;
    private long pendingSinceNanos;

    OrganisationShare(String organisation, long nowNanos) {
        this.organisation = organisation;
        this.bucket = TokenBucket.create(0, 0, 0, nowNanos);
    }

    /** Takes tokens, or says why not. */
    ResultCode tryTake(long tokens, long sequence, long nowNanos) {
        largest = Math.max(largest, tokens);
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
     * Gives back what a charge did not use, as far as it would still be in the bucket.
     *
     * @return the part that the bucket had no room for
     */
    double refund(long sequence, double unused, long latestSequence, long nowNanos) {
        headrooms.record(latestSequence, headroom(nowNanos));
        final double amount = Math.min(unused, headrooms.leastSince(sequence));
        if (amount > 0) {
            bucket.add(amount, nowNanos);
            headrooms.refunded(sequence, amount);
        }
        return unused - Math.max(0, amount);
    }

    /** Keeps unused tokens for the pool. */
    void refundToPool(double unused, long sinceNanos) {
        pendingSinceNanos =
                pendingRefund == 0 ? sinceNanos : Math.min(pendingSinceNanos, sinceNanos);
        pendingRefund += unused;
    }

    /** Forgets unused tokens that no allocator can take any more. */
    void forgetRefunds() {
        pendingRefund = 0;
        refund = 0;
    }

    void withdrawExtra(double tokens, long nowNanos) {
        bucket.withdrawUnconditionally(tokens, nowNanos);
    }

    void apply(ShareChange change, long latestSequence, long nowNanos) {
        headrooms.record(latestSequence, headroom(nowNanos));
        organisationRate = change.organisationTokensPerSecond();
        organisationBurst = change.organisationBurst();
        poolTokens = change.poolTokens();
        appliedNanos = nowNanos;
        final double excess = bucket.resize(change.tokensPerSecond(), change.capacity(), nowNanos);
        returned = excess + bucket.add(change.addedTokens(), nowNanos);
        headrooms.record(latestSequence, headroom(nowNanos));
        refund = pendingRefund;
        refundSinceNanos = pendingSinceNanos;
        pendingRefund = 0;
    }

    /** Returns whether the last grant took tokens away. */
    boolean hasReturned() {
        return returned >= 1;
    }

    /** Empties the bucket and returns nothing to the pool. */
    void drop(long nowNanos) {
        bucket.resize(0, 0, nowNanos);
        returned = 0;
        forgetRefunds();
    }

    /** Returns whether the allocator may give tokens: it was never heard, or its pool has some. */
    boolean poolMayGive(long nowNanos) {
        final double made = organisationRate * ((nowNanos - appliedNanos) / NANOS_PER_SECOND);
        return organisationBurst <= 0 || poolTokens + made > 0;
    }

    /** Returns when the given tokens are expected, counting the pool. */
    long retryAfterNanos(long tokens, long nowNanos) {
        final double rate = Math.max(organisationRate, bucket.tokensPerSecond());
        if (rate <= 0) {
            return MINIMUM_RETRY_NANOS;
        }
        final double lacking = tokens - bucket.level(nowNanos) - poolTokens;
        final long wait = (long) (lacking * NANOS_PER_SECOND / rate);
        return Math.max(MINIMUM_RETRY_NANOS, Math.min(MAXIMUM_RETRY_NANOS, wait));
    }

    /** Returns the tokens that refused requests lack. */
    double wanted(long nowNanos) {
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
                        wanted(nowNanos),
                        largest,
                        refused,
                        returned,
                        refund,
                        refundSinceNanos,
                        pendingRefund);
        refusedSinceReport = 0;
        largest *= LARGEST_DECAY;
        return entry;
    }

    private double headroom(long nowNanos) {
        return Math.max(0, bucket.capacity() - bucket.level(nowNanos));
    }
}
