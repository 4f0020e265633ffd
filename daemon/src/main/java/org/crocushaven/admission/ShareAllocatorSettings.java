package org.crocushaven.admission;

/**
 * Settings of the allocator of shares.
 *
 * @param leaseNanos length of a holder's lease
 * @param idleRateFraction part of an organisation's rate that is spread evenly over all holders
 * @param demandRateFraction part of the rate that follows demand; the rest stays in the pool
 * @param idleBurstFraction part of the burst that is spread evenly over all holders
 * @param demandBurstFraction part of the burst that follows demand; the rest stays in the pool
 * @param firstBurstFraction part of the burst that a new allocator has in its pool once it may
 *     lend; each allocator may add that much to an organisation's tokens
 * @param largestDebt tokens that the pool may lend before they are made, so that a request which is
 *     larger than the pool's usual level is not passed over by small ones for ever
 */
public record ShareAllocatorSettings(
        long leaseNanos,
        double idleRateFraction,
        double demandRateFraction,
        double idleBurstFraction,
        double demandBurstFraction,
        double firstBurstFraction,
        double largestDebt) {
    private static final long DEFAULT_LEASE_NANOS = 4_000_000_000L;

    /** Twice the longest election and a gateway's search for the new leader. */
    private static final long SHORT_LEASE_NANOS = 3_000_000_000L;

    public ShareAllocatorSettings {
        if (leaseNanos <= 0
                || idleRateFraction + demandRateFraction > 1
                || idleBurstFraction + demandBurstFraction > 1) {
            throw new IllegalArgumentException("impossible share settings");
        }
    }

    /**
     * Returns settings for holders that may have to go on without an allocator: they hold most of
     * the burst, and the lease is only as long as the loss of a leader takes to mend.
     */
    public static ShareAllocatorSettings selfReliant() {
        return new ShareAllocatorSettings(SHORT_LEASE_NANOS, 0.02, 0.95, 0.3, 0.55, 0.25, 0);
    }

    /** Returns the default settings. */
    public static ShareAllocatorSettings defaults() {
        return new ShareAllocatorSettings(DEFAULT_LEASE_NANOS, 0.02, 0.88, 0.25, 0.35, 0, 0);
    }

    /** Returns these settings with another bound on the pool's debt, in tokens. */
    public ShareAllocatorSettings withLargestDebt(double tokens) {
        return new ShareAllocatorSettings(
                leaseNanos,
                idleRateFraction,
                demandRateFraction,
                idleBurstFraction,
                demandBurstFraction,
                firstBurstFraction,
                tokens);
    }
}
