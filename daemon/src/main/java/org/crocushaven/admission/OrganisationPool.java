package org.crocushaven.admission;

import java.util.Map;
import java.util.TreeMap;

/**
 * Divides one organisation's rate and burst between a pool and the holders' buckets.
 *
 * <p>Invariant: the rates of the pool and the holders sum to at most the organisation's rate, the
 * capacities to at most its burst; while a grant is unacknowledged, the larger of the old and the
 * new value counts. Tokens are added only by the rates of the buckets, as the initial burst, and
 * for the time in which no holder had a share.
 */
final class OrganisationPool {
    /**
     * Multiplier of a bucket's free fraction in the computation of its rate. A bucket that is at
     * least half empty receives its whole share. A full one receives only what its holder uses, so
     * that the holder can continue while no allocator answers.
     */
    private static final double FREE_FRACTION_FACTOR = 2;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double SHORTAGE_CAPACITY_SECONDS = 0.3;
    private static final long SHORTAGE_DURATION_NANOS = 600_000_000;

    /** Minimum change, as a fraction of the bucket, that justifies a grant. */
    private static final double NOTICEABLE_CHANGE = 0.05;

    private static final double NOTICEABLE_REFUND = 0.001;

    private final String organisation;
    private final ShareAllocatorSettings settings;
    private final Map<String, HeldShare> holders = new TreeMap<>();
    private final TokenBucket bucket;
    private final DemandMeter refusedDemand = new DemandMeter();
    private final HeadroomHistory headrooms = new HeadroomHistory();
    private double rate;
    private double burst;
    private double totalDemand;
    private double totalReturning;
    private double heldRate;
    private double heldCapacity;
    private double declaredCapacity;

    /** Whether holders of earlier epochs may still have shares that are not registered here. */
    private boolean withholding;

    private long shortageUntilNanos;
    private String holderInShortage = "";

    OrganisationPool(
            String organisation,
            ShareAllocatorSettings settings,
            double rate,
            double burst,
            boolean withholding,
            long nowNanos) {
        this.organisation = organisation;
        this.settings = settings;
        this.rate = rate;
        this.burst = burst;
        this.withholding = withholding;
        this.bucket = TokenBucket.create(0, 0, 0, nowNanos);
        resizePool(nowNanos);
        bucket.add(settings.initialBurstFraction() * burst, nowNanos);
        recordHeadroom(nowNanos);
    }

    /** Sets the rate and burst and returns whether one of them was lowered. */
    boolean setLimits(double newRate, double newBurst, long nowNanos) {
        final boolean lowered = newRate < rate || newBurst < burst;
        rate = newRate;
        burst = newBurst;
        resizePool(nowNanos);
        return lowered;
    }

    /**
     * Ends the period in which holders of an earlier epoch may still spend their shares.
     *
     * @param emptyNanos time for which none of them held a share; the tokens of that time are added
     *     to the pool
     */
    void endWithholding(long emptyNanos, long nowNanos) {
        withholding = false;
        resizePool(nowNanos);
        bucket.add(rate * (emptyNanos / NANOS_PER_SECOND), nowNanos);
        recordHeadroom(nowNanos);
    }

    /** Registers the bucket that a holder still has from an earlier epoch. */
    void declare(String instance, ShareEntry entry, long nowNanos) {
        remove(instance, nowNanos);
        final HeldShare held = HeldShare.declared(entry);
        holders.put(instance, held);
        adjustHeldTotals(held, 1);
        declaredCapacity += held.countedCapacity();
        resizePool(nowNanos);
    }

    /** Reclaims the rate and capacity of a holder; its tokens are lost. */
    void remove(String instance, long nowNanos) {
        final HeldShare held = holders.remove(instance);
        if (held != null) {
            adjustHeldTotals(held, -1);
            totalDemand = Math.max(0, totalDemand - held.demand());
            totalReturning = Math.max(0, totalReturning - held.returningTokens());
            resizePool(nowNanos);
        }
    }

    void observe(String instance, ShareEntry entry, long nowNanos) {
        final HeldShare held = holders.computeIfAbsent(instance, name -> new HeldShare());
        totalDemand -= held.demand();
        totalReturning -= held.returningTokens();
        held.observe(entry);
        totalDemand = Math.max(0, totalDemand + held.demand());
        totalReturning = Math.max(0, totalReturning + held.returningTokens());
        refusedDemand.add(held.missingTokens(), nowNanos);
        if (held.missingTokens() > bucket.level(nowNanos)) {
            shortageUntilNanos = nowNanos + SHORTAGE_DURATION_NANOS;
            holderInShortage = instance;
        }
    }

    /**
     * Records that the holder has applied its last grant.
     *
     * @param entry the bucket as the holder reports it, null if it has none
     */
    void acknowledge(String instance, ShareEntry entry, long nowNanos) {
        final HeldShare held = holders.get(instance);
        if (held == null) {
            return;
        }
        adjustHeldTotals(held, -1);
        held.acknowledge();
        adjustHeldTotals(held, 1);
        resizePool(nowNanos);
        if (entry != null) {
            bucket.add(entry.returnedTokens(), nowNanos);
            recordHeadroom(nowNanos);
            refund(entry.refund(), entry.refundSinceNanos(), nowNanos);
        }
    }

    /** Returns the bucket that the holder should have next, the current one if nothing changes. */
    Proposal propose(String instance, long nowNanos) {
        final HeldShare held = holders.computeIfAbsent(instance, name -> new HeldShare());
        if (isOverRate(nowNanos)) {
            return proposeByRequest(held, nowNanos);
        }
        final double freeRate = withholding ? 0 : Math.max(0, rate - heldRate);
        final double freeCapacity = freeCapacity();
        final double newRate = Math.min(targetRate(held), held.rate() + freeRate);
        final double newCapacity =
                Math.min(targetCapacity(instance, held, nowNanos), held.capacity() + freeCapacity);
        final double added = tokensToAdd(held, newCapacity, freeCapacity, nowNanos);
        final boolean noticeable =
                added > NOTICEABLE_CHANGE * newCapacity
                        || held.missingTokens() > 0
                        || held.pendingRefund() > NOTICEABLE_REFUND * burst
                        || differs(held.rate(), newRate)
                        || differs(held.capacity(), newCapacity);
        return new Proposal(newRate, newCapacity, added, noticeable);
    }

    /** Moves rate, capacity and tokens to the holder; they count as held from then on. */
    ShareChange commit(String instance, Proposal proposal, long nowNanos) {
        final HeldShare held = holders.get(instance);
        recordHeadroom(nowNanos);
        final double taken =
                held.missingTokens() > 0
                        ? bucket.drainIntoDebt(
                                proposal.addedTokens(), settings.maximumDebt(), nowNanos)
                        : bucket.drain(proposal.addedTokens(), nowNanos);
        adjustHeldTotals(held, -1);
        held.recordGrant(proposal.tokensPerSecond(), proposal.capacity());
        adjustHeldTotals(held, 1);
        resizePool(nowNanos);
        return new ShareChange(
                organisation,
                proposal.tokensPerSecond(),
                proposal.capacity(),
                taken,
                rate,
                burst,
                bucket.level(nowNanos),
                Math.max(0, totalReturning - held.returningTokens()));
    }

    /** Returns the proposal that leaves the holder's bucket unchanged. */
    Proposal unchanged(String instance) {
        final HeldShare held = holders.computeIfAbsent(instance, name -> new HeldShare());
        return new Proposal(held.rate(), held.capacity(), 0, false);
    }

    /**
     * Keeps rate and capacity in the pool and gives the holder the tokens that its refused requests
     * lack, or none.
     *
     * <p>A positive level of the pool suffices as long as its permitted debt covers the rest, so
     * that requests of any size are treated alike.
     */
    private Proposal proposeByRequest(HeldShare held, long nowNanos) {
        final double level = Math.max(0, held.level());
        final double freeSpace = Math.max(0, held.capacity() + freeCapacity() - level);
        final double pooled = bucket.level(nowNanos);
        final boolean grantable =
                held.missingTokens() > 0
                        && pooled > 0
                        && held.missingTokens()
                                <= Math.min(freeSpace, pooled + settings.maximumDebt());
        return grantable
                ? new Proposal(0, level + held.missingTokens(), held.missingTokens(), true)
                : new Proposal(0, 0, 0, true);
    }

    /**
     * Returns whether demand exceeds the rate. Tokens divided between holders would then suffice
     * only for small requests.
     */
    private boolean isOverRate(long nowNanos) {
        return settings.maximumDebt() > 0
                && nowNanos - shortageUntilNanos < 0
                && totalDemand + refusedDemand.tokensPerSecond(nowNanos) >= rate;
    }

    private double targetRate(HeldShare held) {
        final int count = Math.max(1, holders.size());
        final double idleRate = settings.idleRateFraction() * rate / count;
        final double demandRate = settings.demandRateFraction() * rate;
        if (totalDemand <= 0) {
            return idleRate + demandRate / count;
        }
        final double freeFraction =
                held.capacity() <= 0 ? 1 : 1 - Math.max(0, held.level()) / held.capacity();
        final double demandShare = demandRate * held.demand() / totalDemand;
        return idleRate
                + Math.max(
                        demandShare * Math.min(1, FREE_FRACTION_FACTOR * freeFraction),
                        Math.min(demandShare, held.demand()));
    }

    private double targetCapacity(String instance, HeldShare held, long nowNanos) {
        final int count = Math.max(1, holders.size());
        final double share = totalDemand <= 0 ? 1.0 / count : held.demand() / totalDemand;
        final double usual =
                settings.idleBurstFraction() * burst / count
                        + settings.demandBurstFraction() * burst * share;
        if (held.missingTokens() > 0) {
            return Math.min(burst, Math.max(usual, held.level() + held.missingTokens()));
        }
        final boolean otherHolderInShortage =
                nowNanos - shortageUntilNanos < 0 && !holderInShortage.equals(instance);
        return otherHolderInShortage
                ? Math.min(usual, held.demand() * SHORTAGE_CAPACITY_SECONDS)
                : usual;
    }

    private double tokensToAdd(
            HeldShare held, double newCapacity, double freeCapacity, long nowNanos) {
        final double freeSpace = Math.max(0, newCapacity - Math.max(0, held.level()));
        final double level = Math.max(0, bucket.level(nowNanos));
        final double growth = Math.max(0, newCapacity - held.capacity());
        final double overflow = Math.max(0, level - (freeCapacity - growth));
        final double needed = held.missingTokens() > 0 ? held.missingTokens() : freeSpace / 2;
        return Math.min(Math.min(freeSpace, level), Math.max(needed, overflow));
    }

    private boolean differs(double current, double proposed) {
        return Math.abs(current - proposed) > NOTICEABLE_CHANGE * Math.max(current, proposed);
    }

    /**
     * Returns the capacity not assigned to holders. While holders of earlier epochs may have
     * shares, that is at most the initial burst of a new allocator.
     */
    private double freeCapacity() {
        final double initialBurst = settings.initialBurstFraction() * burst;
        return withholding
                ? Math.max(0, initialBurst - Math.max(0, heldCapacity - declaredCapacity))
                : Math.max(0, burst - heldCapacity);
    }

    private void adjustHeldTotals(HeldShare held, int sign) {
        heldRate += sign * held.countedRate();
        heldCapacity += sign * held.countedCapacity();
    }

    private void resizePool(long nowNanos) {
        final double freeRate = withholding ? 0 : Math.max(0, rate - heldRate);
        final double freeCapacity = freeCapacity();
        recordHeadroom(nowNanos);
        bucket.resize(freeRate, freeCapacity, nowNanos);
        recordHeadroom(nowNanos);
    }

    /** Returns unused tokens to the pool, up to its minimum free space since the charge. */
    private void refund(double amount, long sinceNanos, long nowNanos) {
        final double accepted = Math.min(amount, headrooms.minimumSince(sinceNanos));
        if (accepted > 0) {
            bucket.add(accepted, nowNanos);
            headrooms.recordRefund(sinceNanos, accepted);
        }
    }

    private void recordHeadroom(long nowNanos) {
        headrooms.record(nowNanos, Math.max(0, bucket.capacity() - bucket.level(nowNanos)));
    }

    /**
     * The bucket that a holder should have next.
     *
     * @param tokensPerSecond rate of the bucket
     * @param capacity capacity of the bucket
     * @param addedTokens tokens to move from the pool
     * @param noticeable whether the change justifies a grant
     */
    record Proposal(
            double tokensPerSecond, double capacity, double addedTokens, boolean noticeable) {}
}
