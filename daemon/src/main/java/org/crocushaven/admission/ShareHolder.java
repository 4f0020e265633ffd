package org.crocushaven.admission;

import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import org.crocushaven.result.ResultCode;

/**
 * Holds the buckets of one instance for all organisations under a lease.
 *
 * <p>Invariant: once the lease has expired, no tokens are spent and all buckets are dropped
 * permanently; the higher generation in the next report tells the allocator so. Not thread-safe.
 */
public final class ShareHolder {
    private static final long UNLEASED_RETRY_NANOS = 250_000_000;
    private static final int REMEMBERED_REPORTS = 64;

    private final Map<String, OrganisationShare> shares = new TreeMap<>();
    private final long[] reportSequences = new long[REMEMBERED_REPORTS];
    private final long[] reportSentNanos = new long[REMEMBERED_REPORTS];
    private long generation;
    private long epoch;
    private long appliedSequence;
    private long reportSequence;
    private long chargeSequence;
    private long validUntilNanos;
    private long allocatorNanos;
    private boolean leased;
    private OptionalLong emptySinceNanos = OptionalLong.empty();
    private boolean urgent;

    private ShareHolder(long incarnation) {
        this.generation = incarnation;
    }

    /**
     * Returns a holder without shares.
     *
     * @param incarnation number larger than any generation of an earlier process of the same
     *     instance, for example the start time in milliseconds
     */
    public static ShareHolder create(long incarnation) {
        return new ShareHolder(incarnation);
    }

    /** Takes tokens of an organisation, or refuses with the time until they are expected. */
    public Charge tryCharge(String organisation, long tokens, long nowNanos) {
        expireIfDue(nowNanos);
        final OrganisationShare share = share(organisation, nowNanos);
        chargeSequence++;
        final ResultCode code = share.tryTake(tokens, chargeSequence, nowNanos);
        if (code == ResultCode.OK) {
            return charge(organisation, tokens, code, 0, false);
        }
        if (code == ResultCode.REQUEST_EXCEEDS_BURST) {
            return charge(organisation, tokens, code, 0, false);
        }
        urgent = true;
        if (!leased) {
            return charge(
                    organisation, tokens, ResultCode.SHARE_UNAVAILABLE, UNLEASED_RETRY_NANOS, true);
        }
        final long retry = share.retryAfterNanos(tokens, nowNanos);
        return charge(organisation, tokens, code, retry, share.poolMayHaveTokens(nowNanos));
    }

    /**
     * Returns the time after which a refused request that takes up a stream should come back, in
     * turn with the others of its organisation. Must be called once for each.
     */
    public long streamReturnDelayNanos(Charge refused, long nowNanos) {
        return refused.code() == ResultCode.RATE_EXCEEDED
                ? share(refused.organisation(), nowNanos)
                        .returnDelayNanos(refused.tokens(), refused.retryAfterNanos(), nowNanos)
                : refused.retryAfterNanos();
    }

    /**
     * Settles a charge with the tokens that were actually used.
     *
     * <p>Unused tokens that would meanwhile have overflowed the bucket are not refunded to it, so
     * that the organisation's bound holds for used tokens counted at the time of the charge.
     */
    public void settle(Charge charge, long usedTokens, long nowNanos) {
        expireIfDue(nowNanos);
        final OrganisationShare share = shares.get(charge.organisation());
        if (share == null || !charge.granted() || charge.generation() != generation) {
            return;
        }
        final long unused = charge.tokens() - usedTokens;
        if (unused > 0) {
            final double rest = share.refund(charge.sequence(), unused, chargeSequence, nowNanos);
            if (rest > 0 && charge.epoch() == epoch) {
                share.refundToPool(rest, charge.allocatorNanos());
            }
        } else if (unused < 0) {
            share.withdrawExcessUsage(-unused, nowNanos);
        }
    }

    /**
     * Returns whether a report should be sent at once, because requests were refused for lack of
     * tokens or because tokens were returned that other holders may need.
     */
    public boolean reportIsUrgent() {
        return urgent;
    }

    /** Returns a report on all organisations, which must be sent at once. */
    public ShareReport report(long nowNanos) {
        expireIfDue(nowNanos);
        reportSequence++;
        final int slot = (int) (reportSequence % REMEMBERED_REPORTS);
        reportSequences[slot] = reportSequence;
        reportSentNanos[slot] = nowNanos;
        final boolean wasUrgent = urgent;
        urgent = false;
        return new ShareReport(
                generation,
                epoch,
                appliedSequence,
                reportSequence,
                wasUrgent,
                shares.values().stream().map(share -> share.entry(nowNanos)).toList(),
                emptyNanos(nowNanos));
    }

    /**
     * Applies a grant and returns whether it changed buckets; one that is late, repeated or made
     * for another generation does not.
     */
    public boolean apply(ShareGrant grant, long nowNanos) {
        expireIfDue(nowNanos);
        final int slot = (int) (grant.reportSequence() % REMEMBERED_REPORTS);
        if (grant.generation() != generation
                || grant.epoch() < epoch
                || grant.reportSequence() <= 0
                || reportSequences[slot] != grant.reportSequence()) {
            return false;
        }
        final long until = reportSentNanos[slot] + grant.leaseNanos();
        if (until <= nowNanos) {
            return false;
        }
        final boolean changes = isNext(grant);
        if (changes) {
            applyChanges(grant, nowNanos);
        } else if (grant.epoch() != epoch || grant.sequence() != appliedSequence) {
            return false;
        }
        allocatorNanos = grant.allocatorNanos();
        validUntilNanos = leased ? Math.max(validUntilNanos, until) : until;
        leased = true;
        return changes;
    }

    /** Returns whether a lease is valid at the given time. */
    public boolean isLeased(long nowNanos) {
        expireIfDue(nowNanos);
        return leased;
    }

    /** Drops all buckets, as on expiry of the lease; also used for a graceful shutdown. */
    public void dropAll(long nowNanos) {
        shares.values().forEach(share -> share.drop(nowNanos));
        generation++;
        epoch = 0;
        appliedSequence = 0;
        leased = false;
        emptySinceNanos = OptionalLong.of(nowNanos);
    }

    private long emptyNanos(long nowNanos) {
        if (leased || epoch > 0) {
            return 0;
        }
        if (emptySinceNanos.isEmpty()) {
            emptySinceNanos = OptionalLong.of(nowNanos);
        }
        return nowNanos - emptySinceNanos.getAsLong();
    }

    private boolean isNext(ShareGrant grant) {
        return grant.epoch() > epoch
                ? grant.sequence() == 1
                : grant.sequence() == appliedSequence + 1;
    }

    private void applyChanges(ShareGrant grant, long nowNanos) {
        if (grant.epoch() != epoch) {
            shares.values().forEach(OrganisationShare::discardRefunds);
        }
        final Set<String> removed = new HashSet<>(shares.keySet());
        for (final ShareChange change : grant.changes()) {
            share(change.organisation(), nowNanos).apply(change, chargeSequence, nowNanos);
            removed.remove(change.organisation());
        }
        removed.forEach(
                name -> shares.get(name).apply(ShareChange.none(name), chargeSequence, nowNanos));
        urgent |= shares.values().stream().anyMatch(OrganisationShare::hasReturnedTokens);
        epoch = grant.epoch();
        appliedSequence = grant.sequence();
    }

    private void expireIfDue(long nowNanos) {
        if (leased && nowNanos >= validUntilNanos) {
            dropAll(nowNanos);
        }
    }

    private OrganisationShare share(String organisation, long nowNanos) {
        return shares.computeIfAbsent(organisation, name -> new OrganisationShare(name, nowNanos));
    }

    private Charge charge(
            String organisation,
            long tokens,
            ResultCode code,
            long retryAfter,
            boolean poolMayHaveTokens) {
        return new Charge(
                organisation,
                tokens,
                code,
                retryAfter,
                poolMayHaveTokens,
                generation,
                epoch,
                allocatorNanos,
                chargeSequence);
    }
}
