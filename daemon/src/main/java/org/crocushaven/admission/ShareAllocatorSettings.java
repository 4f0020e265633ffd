package org.crocushaven.admission;

/**
 * Settings of a {@link ShareAllocator}.
 *
 * @param leaseNanos length of a holder's lease
 * @param idleRateFraction fraction of an organisation's rate that is divided evenly between all
 *     holders
 * @param demandRateFraction fraction of the rate that is divided by demand; the rest stays in the
 *     pool
 * @param idleBurstFraction fraction of the burst that is divided evenly between all holders
 * @param demandBurstFraction fraction of the burst that is divided by demand; the rest stays in the
 *     pool
 * @param initialBurstFraction fraction of the burst that a new allocator has in its pool at first;
 *     each allocator may add that much to an organisation's tokens
 * @param maximumDebt tokens by which the level of the pool may fall below zero, so that a request
 *     larger than the usual level of the pool is not starved by small ones
 */
public record ShareAllocatorSettings(
        long leaseNanos,
        double idleRateFraction,
        double demandRateFraction,
        double idleBurstFraction,
        double demandBurstFraction,
        double initialBurstFraction,
        double maximumDebt) {
    private static final long DEFAULT_LEASE_NANOS = 4_000_000_000L;

    /** Twice the time of the longest election and a gateway's search for the new leader. */
    private static final long SHORT_LEASE_NANOS = 3_000_000_000L;

    public ShareAllocatorSettings {
        if (leaseNanos <= 0
                || idleRateFraction + demandRateFraction > 1
                || idleBurstFraction + demandBurstFraction > 1) {
            throw new IllegalArgumentException(
                    "leaseNanos must be positive, rate and burst fractions must sum to at most 1");
        }
    }

    /**
     * Returns settings for holders that may have to continue without an allocator: they hold most
     * of the burst, and the lease is no longer than the replacement of a lost leader requires.
     */
    public static ShareAllocatorSettings toleratingAllocatorLoss() {
        return new ShareAllocatorSettings(SHORT_LEASE_NANOS, 0.02, 0.95, 0.3, 0.55, 0.25, 0);
    }

    /** Returns the default settings. */
    public static ShareAllocatorSettings defaults() {
        return new ShareAllocatorSettings(DEFAULT_LEASE_NANOS, 0.02, 0.88, 0.25, 0.35, 0, 0);
    }

    /** Returns a copy of these settings with the given bound on the pool's debt, in tokens. */
    public ShareAllocatorSettings withMaximumDebt(double tokens) {
        return new ShareAllocatorSettings(
                leaseNanos,
                idleRateFraction,
                demandRateFraction,
                idleBurstFraction,
                demandBurstFraction,
                initialBurstFraction,
                tokens);
    }
}
