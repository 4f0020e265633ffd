package org.crocushaven.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.crocushaven.configuration.Organisation;

/**
 * Divides the rates and bursts of organisations between the instances that hold shares.
 *
 * <p>There is one allocator for each epoch (term of the leader). Each holder has at most one
 * unacknowledged grant, which is repeated unchanged until the holder reports that it was applied.
 * What a holder returns is reused only after that report, or after its lease has expired.
 *
 * <p>Until a lease length has passed since its creation, or {@link #endWithholding} is called, a
 * new allocator withholds shares: it grants only what holders re-declare and the initial burst of
 * its settings. It must be created only when no allocator of an earlier epoch can answer reports
 * any more.
 *
 * <p>The totals that are divided come only from {@link #applyOrganisations}, so that an allocator
 * can itself be subordinate to another one. Not thread-safe.
 */
public final class ShareAllocator {
    private final long epoch;
    private final ShareAllocatorSettings settings;
    private final long withholdUntilNanos;
    private final Map<String, OrganisationPool> pools = new TreeMap<>();
    private final Map<String, HolderSession> sessions = new HashMap<>();
    private boolean withholding;

    private ShareAllocator(
            long epoch, ShareAllocatorSettings settings, boolean withholding, long nowNanos) {
        this.epoch = epoch;
        this.settings = settings;
        this.withholding = withholding;
        this.withholdUntilNanos = nowNanos + settings.leaseNanos();
    }

    /** Returns an allocator for an epoch; holders of earlier epochs may still have shares. */
    public static ShareAllocator create(
            long epoch,
            ShareAllocatorSettings settings,
            Collection<Organisation> organisations,
            long nowNanos) {
        if (epoch <= 0) {
            throw new IllegalArgumentException("the epoch must be positive: " + epoch);
        }
        final ShareAllocator allocator = new ShareAllocator(epoch, settings, true, nowNanos);
        allocator.applyOrganisations(organisations, nowNanos);
        return allocator;
    }

    /** Applies the current organisations; a lowered rate is reclaimed from the holders. */
    public void applyOrganisations(Collection<Organisation> organisations, long nowNanos) {
        final Map<String, Organisation> byName = new HashMap<>();
        for (final Organisation organisation : organisations) {
            byName.put(organisation.name(), organisation);
            applyLimits(
                    organisation.name(),
                    organisation.tokensPerSecond(),
                    organisation.burstTokens(),
                    nowNanos);
        }
        for (final String name : pools.keySet()) {
            if (!byName.containsKey(name)) {
                setLimits(pools.get(name), 0, 0, nowNanos);
            }
        }
    }

    /** Handles a report of a holder: renews its lease and adjusts its shares. */
    public ShareGrant handle(String instance, ShareReport report, long nowNanos) {
        tick(nowNanos);
        HolderSession session = sessions.get(instance);
        if (session != null && report.generation() < session.generation()) {
            return session.answer(0, nowNanos);
        }
        if (session == null || report.generation() > session.generation()) {
            holderLost(instance, nowNanos);
            session = new HolderSession(epoch, report.generation(), settings.leaseNanos());
            sessions.put(instance, session);
            open(instance, session, report, nowNanos);
        }
        if (!session.accept(report, nowNanos)) {
            return session.answer(0, nowNanos);
        }
        if (report.epoch() == epoch && session.acknowledges(report)) {
            acknowledge(instance, report, nowNanos);
            session.markAcknowledged();
        }
        observe(instance, report, nowNanos);
        if (!session.isPending()) {
            grantIfNoticeable(instance, session, nowNanos);
        }
        return session.answer(report.reportSequence(), nowNanos);
    }

    /**
     * Ends the period in which holders of earlier epochs may have shares unknown to this allocator.
     * Must be called only when every holder of earlier epochs has reported or has lost its shares.
     *
     * @param emptyNanos time for which none of them has held a share, so that nobody could spend
     *     the tokens of that time; 0 if one held a share
     */
    public void endWithholding(long emptyNanos, long nowNanos) {
        if (withholding) {
            withholding = false;
            pools.values().forEach(pool -> pool.endWithholding(emptyNanos, nowNanos));
        }
    }

    /** Reclaims the shares of a holder; must be called only when its lease has expired. */
    public void holderLost(String instance, long nowNanos) {
        sessions.remove(instance);
        pools.values().forEach(pool -> pool.remove(instance, nowNanos));
    }

    /** Removes holders whose lease has expired and ends the withholding period when it is over. */
    public void tick(long nowNanos) {
        if (nowNanos - withholdUntilNanos >= 0) {
            endWithholding(0, nowNanos);
        }
        final List<String> expired = new ArrayList<>();
        sessions.forEach(
                (instance, session) -> {
                    if (session.isExpired(nowNanos)) {
                        expired.add(instance);
                    }
                });
        expired.forEach(instance -> holderLost(instance, nowNanos));
    }

    private void applyLimits(String name, long rate, long burst, long nowNanos) {
        final OrganisationPool known = pools.get(name);
        if (known != null) {
            setLimits(known, rate, burst, nowNanos);
            return;
        }
        pools.put(name, new OrganisationPool(name, settings, rate, burst, withholding, nowNanos));
    }

    private void setLimits(OrganisationPool pool, long rate, long burst, long nowNanos) {
        if (pool.setLimits(rate, burst, nowNanos)) {
            sessions.values().forEach(session -> session.recordLoweredLimits(nowNanos));
        }
    }

    /**
     * Opens a session with the shares that the holder declares from an earlier epoch, or with none.
     */
    private void open(String instance, HolderSession session, ShareReport report, long nowNanos) {
        if (!withholding || report.epoch() == 0 || report.epoch() >= epoch) {
            return;
        }
        for (final ShareEntry entry : report.entries()) {
            if (entry.capacity() > 0 || entry.tokensPerSecond() > 0) {
                pool(entry.organisation(), nowNanos).declare(instance, entry, nowNanos);
            }
        }
        final List<ShareChange> changes = new ArrayList<>();
        pools.values()
                .forEach(
                        pool ->
                                changes.add(
                                        pool.commit(instance, pool.unchanged(instance), nowNanos)));
        session.grant(changes);
    }

    private void acknowledge(String instance, ShareReport report, long nowNanos) {
        final Map<String, ShareEntry> entries = new HashMap<>();
        report.entries().forEach(entry -> entries.put(entry.organisation(), entry));
        pools.forEach((name, pool) -> pool.acknowledge(instance, entries.get(name), nowNanos));
    }

    private void observe(String instance, ShareReport report, long nowNanos) {
        for (final ShareEntry entry : report.entries()) {
            final OrganisationPool pool = pools.get(entry.organisation());
            if (pool != null) {
                pool.observe(instance, entry, nowNanos);
            }
        }
    }

    private void grantIfNoticeable(String instance, HolderSession session, long nowNanos) {
        final Map<OrganisationPool, OrganisationPool.Proposal> proposals = new HashMap<>();
        boolean noticeable = !session.hasGrant();
        for (final OrganisationPool pool : pools.values()) {
            final OrganisationPool.Proposal proposal = pool.propose(instance, nowNanos);
            proposals.put(pool, proposal);
            noticeable |= proposal.noticeable();
        }
        if (!noticeable) {
            return;
        }
        final List<ShareChange> changes = new ArrayList<>();
        for (final OrganisationPool pool : pools.values()) {
            changes.add(pool.commit(instance, proposals.get(pool), nowNanos));
        }
        session.grant(changes);
    }

    private OrganisationPool pool(String name, long nowNanos) {
        return pools.computeIfAbsent(
                name, key -> new OrganisationPool(name, settings, 0, 0, withholding, nowNanos));
    }
}
