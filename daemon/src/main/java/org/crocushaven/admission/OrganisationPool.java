package org.crocushaven.admission;

import java.util.Map;
import java.util.TreeMap;

/**
 * One organisation's rate and burst, split between a pool and the holders' buckets.
 *
 * <p>Invariant: the rates of pool and holders sum to at most the organisation's rate, the
 * capacities to at most its burst, both counted with the larger value while a grant is
 * unacknowledged. Tokens are made only by the buckets' own rates.
 */
final class OrganisationPool {
    /**
     * A bucket that is half empty gets its whole part of the rate, a full one only what its holder
     * uses, so that it can go on while no allocator answers.
     */
    private static final double FREE_TO_RATE = 2;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double SCARCE_SECONDS = 0.3;
    private static final long SHORTAGE_NANOS = 600_000_000;

    /**
     * Part of the rate that holders keep then; the pool decides on the rest, request by request.
     */
    private static final double NOTICEABLE = 0.05;

    private static final double NOTICEABLE_REFUND = 0.001;

    private final String organisation;
    private final ShareAllocatorSettings settings;
    private final Map<String, HeldShare> holders = new TreeMap<>();
    private final TokenBucket bucket;
    private final DemandMeter lacking = new DemandMeter();
    private final HeadroomHistory headrooms = new HeadroomHistory();
    private double rate;
    private double burst;
    private double totalDemand;
    private double heldRate;
    private double heldCapacity;
    private double declaredCapacity;
    private boolean withheld;
    private long shortageUntilNanos;
    private String shortHolder = "";

    OrganisationPool(
            String organisation,
            ShareAllocatorSettings settings,
            double rate,
            double burst,
            boolean withheld,
            long nowNanos) {
        this.organisation = organisation;
        this.settings = settings;
        this.rate = rate;
        this.burst = burst;
        this.withheld = withheld;
        this.bucket = TokenBucket.create(0, 0, 0, nowNanos);
        resizePool(nowNanos);
        bucket.add(settings.firstBurstFraction() * burst, nowNanos);
        recordHeadroom(nowNanos);
    }

    /** Sets rate and burst; returns whether one of them is lower than it was. */
    boolean limits(double newRate, double newBurst, long nowNanos) {
        final boolean lowered = newRate < rate || newBurst < burst;
        rate = newRate;
        burst = newBurst;
        resizePool(nowNanos);
        return lowered;
    }

    /**
     * Ends the time in which holders of an earlier epoch may still spend what they held.
     *
     * @param emptyNanos time for which none of them held anything; the rate of that time is free
     */
    void endWithholding(long emptyNanos, long nowNanos) {
        withheld = false;
        resizePool(nowNanos);
        bucket.add(rate * (emptyNanos / NANOS_PER_SECOND), nowNanos);
        recordHeadroom(nowNanos);
    }

    /** Takes in what a holder of an earlier epoch still has. */
    void declare(String instance, ShareEntry entry, long nowNanos) {
        remove(instance, nowNanos);
        final HeldShare held = HeldShare.declared(entry);
        holders.put(instance, held);
        count(held, 1);
        declaredCapacity += held.countedCapacity();
        resizePool(nowNanos);
    }

    /** Takes back what a holder had; its tokens are lost. */
    void remove(String instance, long nowNanos) {
        final HeldShare held = holders.remove(instance);
        if (held != null) {
            count(held, -1);
            totalDemand = Math.max(0, totalDemand - held.demand());
            resizePool(nowNanos);
        }
    }

    void observe(String instance, ShareEntry entry, long nowNanos) {
        final HeldShare held = holders.computeIfAbsent(instance, name -> new HeldShare());
        totalDemand -= held.demand();
        held.observe(entry);
        totalDemand = Math.max(0, totalDemand + held.demand());
        lacking.add(held.wanted(), nowNanos);
        if (held.wanted() > bucket.level(nowNanos)) {
            shortageUntilNanos = nowNanos + SHORTAGE_NANOS;
            shortHolder = instance;
        }
    }

    /**
     * Notes that the holder has applied its last grant.
     *
     * @param entry what the holder reports with it, null when it has no bucket
     */
    void acknowledge(String instance, ShareEntry entry, long nowNanos) {
        final HeldShare held = holders.get(instance);
        if (held == null) {
            return;
        }
        count(held, -1);
        held.acknowledge();
        count(held, 1);
        resizePool(nowNanos);
        if (entry != null) {
            bucket.add(entry.returned(), nowNanos);
            recordHeadroom(nowNanos);
            refund(entry.refund(), entry.refundSinceNanos(), nowNanos);
        }
    }

    /** Returns the change that the holder should have next, the present state when none. */
    Proposal propose(String instance, long nowNanos) {
        final HeldShare held = holders.computeIfAbsent(instance, name -> new HeldShare());
        if (isOverRate(nowNanos)) {
            return proposeByRequest(held, nowNanos);
        }
        final double freeRate = withheld ? 0 : Math.max(0, rate - heldRate);
        final double freeCapacity = freeCapacity();
        final double newRate = Math.min(targetRate(held), held.rate() + freeRate);
        final double newCapacity =
                Math.min(targetCapacity(instance, held, nowNanos), held.capacity() + freeCapacity);
        final double added = tokensToAdd(held, newCapacity, freeCapacity, nowNanos);
        final boolean noticeable =
                added > NOTICEABLE * newCapacity
                        || held.wanted() > 0
                        || held.pendingRefund() > NOTICEABLE_REFUND * burst
                        || differs(held.rate(), newRate)
                        || differs(held.capacity(), newCapacity);
        return new Proposal(newRate, newCapacity, added, noticeable);
    }

    /** Moves rate, capacity and tokens to the holder; they count for it from now on. */
    ShareChange commit(String instance, Proposal proposal, long nowNanos) {
        final HeldShare held = holders.get(instance);
        recordHeadroom(nowNanos);
        final double taken =
                held.wanted() > 0
                        ? bucket.drainIntoDebt(
                                proposal.addedTokens(), settings.largestDebt(), nowNanos)
                        : bucket.drain(proposal.addedTokens(), nowNanos);
        count(held, -1);
        held.propose(proposal.tokensPerSecond(), proposal.capacity());
        count(held, 1);
        resizePool(nowNanos);
        return new ShareChange(
                organisation,
                proposal.tokensPerSecond(),
                proposal.capacity(),
                taken,
                rate,
                burst,
                bucket.level(nowNanos));
    }

    /** Returns the change that leaves the holder as it is. */
    Proposal unchanged(String instance) {
        final HeldShare held = holders.computeIfAbsent(instance, name -> new HeldShare());
        return new Proposal(held.rate(), held.capacity(), 0, false);
    }

    /**
     * Keeps everything in the pool and gives the requests that wait what they lack, or nothing.
     *
     * <p>What is given does not depend on their size as long as the pool's debt covers it.
     */
    private Proposal proposeByRequest(HeldShare held, long nowNanos) {
        final double level = Math.max(0, held.level());
        final double room = Math.max(0, held.capacity() + freeCapacity() - level);
        final double pooled = bucket.level(nowNanos);
        final boolean given =
                held.wanted() > 0
                        && pooled > 0
                        && held.wanted() <= Math.min(room, pooled + settings.largestDebt());
        return given
                ? new Proposal(0, level + held.wanted(), held.wanted(), true)
                : new Proposal(0, 0, 0, true);
    }

    /**
     * Returns whether more is asked for than the rate; tokens split between holders would then be
     * enough for small requests only.
     */
    private boolean isOverRate(long nowNanos) {
        return settings.largestDebt() > 0
                && nowNanos - shortageUntilNanos < 0
                && totalDemand + lacking.tokensPerSecond(nowNanos) >= rate;
    }

    private double targetRate(HeldShare held) {
        final int count = Math.max(1, holders.size());
        final double idle = settings.idleRateFraction() * rate / count;
        final double shared = settings.demandRateFraction() * rate;
        if (totalDemand <= 0) {
            return idle + shared / count;
        }
        final double free =
                held.capacity() <= 0 ? 1 : 1 - Math.max(0, held.level()) / held.capacity();
        final double part = shared * held.demand() / totalDemand;
        return idle
                + Math.max(part * Math.min(1, FREE_TO_RATE * free), Math.min(part, held.demand()));
    }

    private double targetCapacity(String instance, HeldShare held, long nowNanos) {
        final int count = Math.max(1, holders.size());
        final double share = totalDemand <= 0 ? 1.0 / count : held.demand() / totalDemand;
        final double usual =
                settings.idleBurstFraction() * burst / count
                        + settings.demandBurstFraction() * burst * share;
        if (held.wanted() > 0) {
            return Math.min(burst, Math.max(usual, held.level() + held.wanted()));
        }
        final boolean othersShort =
                nowNanos - shortageUntilNanos < 0 && !shortHolder.equals(instance);
        return othersShort ? Math.min(usual, held.demand() * SCARCE_SECONDS) : usual;
    }

    private double tokensToAdd(
            HeldShare held, double newCapacity, double freeCapacity, long nowNanos) {
        final double room = Math.max(0, newCapacity - Math.max(0, held.level()));
        final double level = Math.max(0, bucket.level(nowNanos));
        final double growth = Math.max(0, newCapacity - held.capacity());
        final double displaced = Math.max(0, level - (freeCapacity - growth));
        final double needed = held.wanted() > 0 ? held.wanted() : room / 2;
        return Math.min(Math.min(room, level), Math.max(needed, displaced));
    }

    private boolean differs(double current, double proposed) {
        return Math.abs(current - proposed) > NOTICEABLE * Math.max(current, proposed);
    }

    /** While earlier holders may have shares, only what a new allocator may add is free. */
    private double freeCapacity() {
        final double first = settings.firstBurstFraction() * burst;
        return withheld
                ? Math.max(0, first - Math.max(0, heldCapacity - declaredCapacity))
                : Math.max(0, burst - heldCapacity);
    }

    private void count(HeldShare held, int sign) {
        heldRate += sign * held.countedRate();
        heldCapacity += sign * held.countedCapacity();
    }

    private void resizePool(long nowNanos) {
        final double freeRate = withheld ? 0 : Math.max(0, rate - heldRate);
        final double freeCapacity = freeCapacity();
        recordHeadroom(nowNanos);
        bucket.resize(freeRate, freeCapacity, nowNanos);
        recordHeadroom(nowNanos);
    }

    /** Puts unused tokens back as far as the pool had room for them ever since the charge. */
    private void refund(double amount, long sinceNanos, long nowNanos) {
        final double accepted = Math.min(amount, headrooms.leastSince(sinceNanos));
        if (accepted > 0) {
            bucket.add(accepted, nowNanos);
            headrooms.refunded(sinceNanos, accepted);
        }
    }

    private void recordHeadroom(long nowNanos) {
        headrooms.record(nowNanos, Math.max(0, bucket.capacity() - bucket.level(nowNanos)));
    }

    /**
     * A bucket that a holder should have next.
     *
     * @param tokensPerSecond rate
     * @param capacity capacity
     * @param addedTokens tokens to move from the pool
     * @param noticeable whether the change is worth a grant
     */
    record Proposal(
            double tokensPerSecond, double capacity, double addedTokens, boolean noticeable) {}
}
