package org.crocushaven.fleet;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.EpochClock;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.consensus.GroupHost;
import org.crocushaven.consensus.GroupRouter;
import org.crocushaven.consensus.GroupSettings;
import org.crocushaven.consensus.ReplicaSupervisor;
import org.crocushaven.consensus.ReplicaTiming;
import org.crocushaven.network.SuspensionDetector;
import org.crocushaven.observability.EventLine;
import org.crocushaven.observability.GuardedTask;
import org.crocushaven.outbound.BackendPool;
import org.crocushaven.protocol.Message;
import org.crocushaven.protocol.MessageCodec;
import org.crocushaven.protocol.PeerTransport;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.crocushaven.storage.InitialVoters;

/**
 * The part of an instance that holds control state: a replica of the consensus group, the registry
 * of backend servers and, while it is the leader, the {@link FleetLeader}.
 *
 * <p>Everything but the replica runs on one event loop.
 */
public final class ControlInstance {
    private static final int GROUP = 0;
    private static final long TICK_MILLIS = 200;
    private static final long JOIN_TICKS = 5;

    /** Time for which a leader does not rely on its lease after a suspected suspension. */
    private static final long LEASE_DISTRUST_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private static final Duration FORWARD_TIMEOUT = Duration.ofMillis(900);

    private final ControlSettings settings;
    private final PeerTransport transport;
    private final EventLoop loop;
    private final ControlDialect dialect;
    private final NanoClock clock;
    private final EpochClock epochClock;
    private final FleetState state = FleetState.create();
    private final BackendRegistry registry;
    private final BackendPool pool;
    private final ReplicaSupervisor<GroupHost> supervisor;
    private final SuspensionDetector suspension = new SuspensionDetector();
    private final GroupMembership membership;
    private final ElectionWatch electionWatch;
    private final DepartureLog departures;
    private final UpdateNotices notices;
    private final AnnouncementIntake announcements;
    private FleetLeader leader;

    /** Where streams began, for the last term in which this instance led. */
    private StreamDirectory streams;

    private long streamsTerm;

    /** Decides on parts of prompts, for the last term in which this instance led. */
    private PartVerdicts verdicts;

    private long distrustedUntilNanos;
    private long ticks;
    private boolean stopped;

    private ControlInstance(
            ControlSettings settings,
            PeerTransport transport,
            EventLoop loop,
            ControlDialect dialect,
            NanoClock clock,
            EpochClock epochClock,
            long seed) {
        this.settings = settings;
        this.transport = transport;
        this.loop = loop;
        this.dialect = dialect;
        this.clock = clock;
        this.epochClock = epochClock;
        this.registry = BackendRegistry.of(settings.heartbeatMillis());
        this.pool = BackendPool.create(loop, clock);
        this.distrustedUntilNanos = clock.nanoTime();
        this.membership =
                new GroupMembership(
                        settings.instance(),
                        settings.toleratedLosses(),
                        transport,
                        loop,
                        this::group);
        this.electionWatch = new ElectionWatch(loop, this::isLeadershipSettled, this::startLeading);
        this.notices = new UpdateNotices(loop, clock, this::notifyGateways);
        this.departures =
                new DepartureLog(state, change -> commit(MessageCodec.encodeValue(change)));
        this.announcements =
                new AnnouncementIntake(
                        settings.instance(),
                        transport,
                        membership,
                        registry,
                        departures,
                        notices,
                        this::currentLeader,
                        this::askLeader,
                        clock,
                        epochClock);
        final GroupRouter router = GroupRouter.create(transport);
        attach();
        this.supervisor = ReplicaSupervisor.open(() -> openGroup(router, seed));
    }

    private GroupHost openGroup(GroupRouter router, long seed) {
        return GroupHost.start(
                GroupSettings.of(
                        GROUP,
                        settings.instance(),
                        InitialVoters.loadOrStore(settings.dataFolder(), settings.firstVoters()),
                        ReplicaTiming.FAST_FAILOVER),
                router,
                settings.dataFolder(),
                state,
                clock,
                seed);
    }

    /** Opens the data folder and starts the replica; call before the transport listens. */
    public static ControlInstance open(
            ControlSettings settings,
            PeerTransport transport,
            EventLoop loop,
            ControlDialect dialect,
            NanoClock clock,
            EpochClock epochClock,
            long seed) {
        return new ControlInstance(settings, transport, loop, dialect, clock, epochClock, seed);
    }

    /** Adds the other instances and starts the timers. */
    public void start(List<String> others) {
        loop.execute(
                () -> {
                    membership.add(others);
                    electionWatch.check();
                });
        loop.scheduleAtFixedRate(
                GuardedTask.of(this::tick), TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Adds other instances that may hold control state. */
    public void addControlInstances(List<String> others) {
        loop.execute(() -> membership.add(others));
    }

    /** Stops the replica. */
    public void close() {
        stopped = true;
        supervisor.close();
    }

    /** Applies an announcement; completes when it may be acknowledged. */
    public CompletableFuture<Void> announce(BackendAnnouncement announcement) {
        return announcements.announce(announcement);
    }

    /** Puts a configuration in force; completes when it is committed. */
    public CompletableFuture<Void> replace(long version, byte[] document) {
        return propose(FleetCommand.configuration(version, Documents.compress(document)));
    }

    /** Requires a version of an adapter; completes when it is committed. */
    public CompletableFuture<Void> requireVersion(AdapterVersion version) {
        return propose(FleetCommand.adapterVersion(version));
    }

    /** Returns the configuration in force as the operator sent it. */
    public CompletableFuture<byte[]> describe() {
        final CompletableFuture<FleetDocument> document =
                currentLeader() != null
                        ? CompletableFuture.completedFuture(document())
                        : askLeader(new FleetRead(settings.instance()))
                                .thenApply(FleetDocument.class::cast);
        return document.thenApply(
                found -> {
                    if (found.configurationVersion() == 0) {
                        throw ResultException.of(
                                ResultCode.NOT_READY, "no configuration is known yet");
                    }
                    return Documents.decompress(found.document());
                });
    }

    /** Returns whether this instance holds the leader's lease. */
    public boolean isLeader() {
        return group().holdsLeaderLease();
    }

    private GroupHost group() {
        return supervisor.replica();
    }

    private void attach() {
        transport.registerHandler(
                BackendAnnouncement.class, (sender, message) -> announced(message));
        transport.registerHandler(GatewayReport.class, (sender, message) -> reported(message));
        transport.registerHandler(
                AdapterRequest.class, (sender, message) -> placementRequested(message));
        transport.registerHandler(
                StreamOriginQuery.class, (sender, message) -> streamOriginRequested(message));
        transport.registerHandler(ControlJoin.class, (sender, message) -> joined(message));
        transport.registerHandler(FleetProposal.class, (sender, message) -> proposed(message));
        transport.registerHandler(FleetRead.class, (sender, message) -> read());
    }

    private CompletableFuture<Message> announced(BackendAnnouncement announcement) {
        if (currentLeader() == null) {
            announcements.apply(announcement);
            return CompletableFuture.failedFuture(notLeader());
        }
        return announcements
                .announcedToLeader(announcement)
                .thenApply(done -> new AnnouncementAcknowledged(announcement.backend()));
    }

    private CompletableFuture<Message> reported(GatewayReport report) {
        final FleetLeader activeLeader = currentLeader();
        return CompletableFuture.completedFuture(
                activeLeader == null
                        ? membership.hint()
                        : activeLeader.report(report, membership.controlInstances()));
    }

    private CompletableFuture<? extends Message> placementRequested(AdapterRequest request) {
        final FleetLeader activeLeader = currentLeader();
        return activeLeader == null
                ? CompletableFuture.failedFuture(notLeader())
                : activeLeader.place(request);
    }

    private CompletableFuture<Message> streamOriginRequested(StreamOriginQuery query) {
        final FleetLeader activeLeader = currentLeader();
        return activeLeader == null
                ? CompletableFuture.failedFuture(notLeader())
                : CompletableFuture.completedFuture(activeLeader.findStreamOrigin(query));
    }

    private CompletableFuture<Message> joined(ControlJoin join) {
        membership.joined(join.instance(), currentLeader() != null, clock.nanoTime());
        return CompletableFuture.completedFuture(membership.hint());
    }

    private CompletableFuture<Message> proposed(FleetProposal proposal) {
        return proposeHere(proposal.command())
                .thenApply(done -> new FleetProposalDone(state.view().configurationVersion()));
    }

    private CompletableFuture<Message> read() {
        return currentLeader() == null
                ? CompletableFuture.failedFuture(notLeader())
                : CompletableFuture.completedFuture(document());
    }

    private FleetDocument document() {
        final FleetState.View view = state.view();
        return new FleetDocument(view.configurationVersion(), view.document());
    }

    private void notifyGateways() {
        final FleetLeader activeLeader = currentLeader();
        if (activeLeader != null) {
            final FleetUpdateNotice notice = new FleetUpdateNotice(settings.instance());
            activeLeader.gateways().forEach(gateway -> transport.send(gateway, notice));
        }
    }

    private CompletableFuture<Message> askLeader(Message message) {
        final Optional<String> known =
                membership.leader().filter(name -> !name.equals(settings.instance()));
        if (known.isEmpty()) {
            return CompletableFuture.failedFuture(notLeader());
        }
        return onLoop(transport.request(known.get(), message, FORWARD_TIMEOUT));
    }

    /** Returns a future with the same outcome that completes on the event loop. */
    private <T> CompletableFuture<T> onLoop(CompletableFuture<T> future) {
        final CompletableFuture<T> completed = new CompletableFuture<>();
        future.whenComplete(
                (value, failure) ->
                        loop.execute(
                                () -> {
                                    if (failure == null) {
                                        completed.complete(value);
                                    } else {
                                        completed.completeExceptionally(failure);
                                    }
                                }));
        return completed;
    }

    private CompletableFuture<Void> propose(FleetCommand command) {
        final byte[] encoded = MessageCodec.encodeValue(command);
        return currentLeader() != null
                ? proposeHere(encoded)
                : askLeader(new FleetProposal(encoded)).thenApply(done -> null);
    }

    private CompletableFuture<Void> proposeHere(byte[] command) {
        if (currentLeader() == null) {
            return CompletableFuture.failedFuture(notLeader());
        }
        return commit(command).thenRun(this::applyCommitted);
    }

    /** Commits a command; the future completes on the event loop. */
    private CompletableFuture<Void> commit(byte[] command) {
        return onLoop(group().propose(command)).thenApply(result -> null);
    }

    private void proposeRegistration(FleetCommand change) {
        group().propose(MessageCodec.encodeValue(change))
                .whenComplete(
                        (result, failure) -> {
                            if (failure != null) {
                                EventLine.of("registration-failed")
                                        .with("added", change.gatewaysAdded())
                                        .with("reason", failure.getMessage())
                                        .info();
                            }
                        });
    }

    private CompletableFuture<Void> commitSoftwareVersions(FleetCommand change) {
        return commit(MessageCodec.encodeValue(change)).thenRun(this::applyCommitted);
    }

    /** Passes a committed change on to the gateways. */
    private void applyCommitted() {
        final FleetLeader activeLeader = currentLeader();
        if (activeLeader != null) {
            activeLeader.refresh();
            notices.request();
        }
    }

    /**
     * Returns the leader of the current term, or null if this instance is not the leader; creates
     * or closes it when leadership has changed.
     */
    private FleetLeader currentLeader() {
        final long nowNanos = clock.nanoTime();
        if (suspension.wasSuspended(nowNanos, epochClock.time())) {
            distrustedUntilNanos = nowNanos + LEASE_DISTRUST_NANOS;
            EventLine.of("suspension-suspected").warn();
        }
        final boolean isLeader =
                !stopped && nowNanos - distrustedUntilNanos >= 0 && group().holdsLeaderLease();
        if (!isLeader) {
            endLeading();
            return null;
        }
        final long term = group().term();
        if (leader == null || leader.epoch() != term) {
            startTerm(term, nowNanos);
        }
        return leader;
    }

    private void endLeading() {
        if (leader != null) {
            EventLine.of("leading-ended").with("epoch", leader.epoch()).info();
            leader.close();
            leader = null;
        }
    }

    /** Starts to lead from what is committed and what this instance has heard itself. */
    private void startTerm(long term, long nowNanos) {
        if (leader != null) {
            leader.close();
        }
        state.departures().forEach(departure -> registry.restoreDeparture(departure, nowNanos));
        EventLine.of("leading-started")
                .with("epoch", term)
                .with("ready", registry.count(BackendState.READY))
                .with("draining", registry.count(BackendState.DRAINING))
                .with("gone", registry.count(BackendState.GONE))
                .info();
        membership.leadingStarted(nowNanos);
        prepareStreams(term, nowNanos);
        leader =
                new FleetLeader(
                        new EngineOrderContext(
                                dialect,
                                pool,
                                loop,
                                settings.instance(),
                                term,
                                () -> group().holdsLeaderLease()),
                        registry,
                        state,
                        clock,
                        settings.orderPauseMillis(),
                        settings.rateSlack(),
                        this::proposeRegistration,
                        streams,
                        verdictsOf(term));
        registry.present().forEach(leader::announced);
        final FleetUpdateNotice notice = new FleetUpdateNotice(settings.instance());
        state.gateways().forEach(gateway -> transport.send(gateway, notice));
    }

    /** Keeps the evidence of the same term, because gateways do not report it again. */
    private PartVerdicts verdictsOf(long term) {
        if (verdicts == null || verdicts.epoch() != term) {
            verdicts =
                    new PartVerdicts(
                            settings.instance(),
                            term,
                            state,
                            clock,
                            epochClock,
                            change ->
                                    commit(MessageCodec.encodeValue(change))
                                            .thenRun(this::applyCommitted),
                            notices::request);
        }
        return verdicts;
    }

    /**
     * Keeps what gateways reported earlier in the same term, because they do not report it again.
     */
    private void prepareStreams(long term, long nowNanos) {
        if (streams == null || streamsTerm != term) {
            streams =
                    StreamDirectory.of(
                            SoftwareVersionLog.startingAt(
                                    state, term, this::commitSoftwareVersions, nowNanos));
            streamsTerm = term;
        } else {
            streams.restartHistory(nowNanos);
        }
    }

    /** Returns whether a leader is known and, if it is this instance, has started. */
    private boolean isLeadershipSettled() {
        return stopped
                || leader != null
                || group().leader().filter(name -> !name.equals(settings.instance())).isPresent();
    }

    /** Starts to lead if the group has elected this instance. */
    private void startLeading() {
        final FleetLeader activeLeader = currentLeader();
        if (activeLeader != null) {
            activeLeader.tick();
        }
    }

    private void tick() {
        if (stopped) {
            return;
        }
        supervisor.reopenIfFailed(clock.nanoTime());
        electionWatch.check();
        final FleetLeader activeLeader = currentLeader();
        pool.closeExpired();
        if (activeLeader != null) {
            activeLeader.tick();
            departures.forgetObsolete(registry);
            membership.maintainVoters(clock.nanoTime());
        }
        if (ticks++ % JOIN_TICKS == 0 && activeLeader == null) {
            membership.join();
        }
    }

    private ResultException notLeader() {
        return ResultException.of(ResultCode.NOT_LEADER, GROUP);
    }
}
