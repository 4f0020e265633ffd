package org.crocushaven.coordination;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.admission.LoadBudget;
import org.crocushaven.admission.LoadGrant;
import org.crocushaven.admission.LoadRequest;
import org.crocushaven.admission.ShareAllocator;
import org.crocushaven.admission.ShareAllocatorSettings;
import org.crocushaven.admission.ShareGrant;
import org.crocushaven.configuration.Organisation;
import org.crocushaven.consensus.ReplicatedGroup;
import org.crocushaven.observability.GuardedTask;
import org.crocushaven.protocol.Message;
import org.crocushaven.protocol.PeerTransport;
import org.crocushaven.settings.LoadBudgetSettings;

/**
 * Handles sessions on the leader: dispatcher assignments, shares of organisations and the load
 * budget.
 *
 * <p>The state is kept only in memory and only while this instance holds the leader lease of group
 * 0; each term starts with empty state. Lock rank 20 guards the state.
 */
public final class LeaderService {
    static final long TICK_MILLIS = 50;
    private static final long LOAD_GRANT_LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final ReplicatedGroup group;
    private final PeerTransport transport;
    private final Supplier<Collection<Organisation>> organisations;
    private final LoadBudgetSettings loadBudgetSettings;
    private final SessionSettings settings;
    private final NanoClock clock;
    private final Object lock = new Object();
    private Leadership leadership;
    private ScheduledFuture<?> timer;

    private LeaderService(
            ReplicatedGroup group,
            PeerTransport transport,
            Supplier<Collection<Organisation>> organisations,
            LoadBudgetSettings loadBudgetSettings,
            SessionSettings settings,
            NanoClock clock) {
        this.group = group;
        this.transport = transport;
        this.organisations = organisations;
        this.loadBudgetSettings = loadBudgetSettings;
        this.settings = settings;
        this.clock = clock;
    }

    /**
     * Returns the service of a voter of group 0.
     *
     * @param organisations supplies the organisations of the current configuration
     */
    public static LeaderService create(
            ReplicatedGroup group,
            PeerTransport transport,
            Supplier<Collection<Organisation>> organisations,
            LoadBudgetSettings loadBudgetSettings,
            SessionSettings settings,
            NanoClock clock) {
        return new LeaderService(
                group, transport, organisations, loadBudgetSettings, settings, clock);
    }

    /** Registers the message handlers; must be called before the transport listens. */
    public void attach() {
        transport.registerHandler(
                SessionHeartbeat.class, (sender, heartbeat) -> heartbeat(heartbeat));
        transport.registerHandler(LoadRequest.class, this::loadRequested);
        transport.registerHandler(LoadRelease.class, this::loadReleased);
    }

    /** Starts the timer that expires sessions and grants loads. */
    public void start(ScheduledExecutorService executor) {
        timer =
                executor.scheduleAtFixedRate(
                        GuardedTask.of(this::tick),
                        TICK_MILLIS,
                        TICK_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    /** Stops the timer. */
    public void stop() {
        if (timer != null) {
            timer.cancel(false);
        }
    }

    /**
     * Returns the names of the instances that have a session; empty when this instance is not the
     * leader.
     */
    public List<String> sessions() {
        synchronized (lock) {
            return currentLeadership() == null ? List.of() : leadership.assignments.sessions();
        }
    }

    private CompletableFuture<Message> heartbeat(SessionHeartbeat heartbeat) {
        final long configurationIndex = group.appliedIndex();
        final Message answer;
        synchronized (lock) {
            answer =
                    currentLeadership() == null
                            ? new LeaderHint(group.groupId(), group.leader().orElse(""))
                            : leadership.answer(heartbeat, configurationIndex);
        }
        return CompletableFuture.completedFuture(answer);
    }

    private CompletableFuture<Message> loadRequested(String holder, LoadRequest request) {
        synchronized (lock) {
            if (currentLeadership() != null) {
                leadership
                        .loads
                        .request(holder, request)
                        .ifPresent(grant -> transport.send(holder, grant));
            }
        }
        return null;
    }

    private CompletableFuture<Message> loadReleased(String holder, LoadRelease release) {
        synchronized (lock) {
            if (currentLeadership() != null) {
                if (release.granted()) {
                    leadership.loads.release(holder, release.backendServer(), release.version());
                } else {
                    leadership.loads.withdraw(holder, release.backendServer(), release.version());
                }
            }
        }
        return null;
    }

    private void tick() {
        final List<LoadGrant> grants;
        synchronized (lock) {
            if (currentLeadership() == null) {
                return;
            }
            grants = leadership.tick();
        }
        grants.forEach(grant -> transport.send(grant.holder(), grant));
    }

    /** Returns the state of the current term, or null when this instance is not the leader. */
    private Leadership currentLeadership() {
        if (!group.holdsLeaderLease()) {
            leadership = null;
        } else if (leadership == null || leadership.term != group.term()) {
            leadership = new Leadership(group.term(), clock.nanoTime());
        }
        return leadership;
    }

    private final class Leadership {
        private final long term;
        private final DispatcherAssignments assignments;
        private final ShareAllocator shares;
        private final LoadBudget loads;

        private Leadership(long term, long nowNanos) {
            this.term = term;
            this.assignments = DispatcherAssignments.create(term, settings, nowNanos);
            this.shares =
                    ShareAllocator.create(
                            term, ShareAllocatorSettings.defaults(), organisations.get(), nowNanos);
            this.loads = LoadBudget.create(loadBudgetSettings, LOAD_GRANT_LIFETIME_NANOS, nowNanos);
        }

        private Message answer(SessionHeartbeat heartbeat, long configurationIndex) {
            final long nowNanos = clock.nanoTime();
            assignments.heartbeat(heartbeat, nowNanos);
            if (heartbeat.leaving()) {
                assignments.tick(nowNanos);
            }
            shares.applyOrganisations(organisations.get(), nowNanos);
            final ShareGrant grant =
                    shares.handle(heartbeat.instance(), heartbeat.shares(), nowNanos);
            final FleetTable table = assignments.table();
            final boolean tableDiffers =
                    !assignments.isInGracePeriod(nowNanos)
                            && table.revision() != heartbeat.fleetRevision();
            return new SessionAnswer(
                    term,
                    settings.leaseMillis(),
                    configurationIndex,
                    tableDiffers ? Optional.of(table) : Optional.empty(),
                    grant);
        }

        private List<LoadGrant> tick() {
            final long nowNanos = clock.nanoTime();
            assignments.tick(nowNanos);
            shares.tick(nowNanos);
            return loads.tick(nowNanos);
        }
    }
}
