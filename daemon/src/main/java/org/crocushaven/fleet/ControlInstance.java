package org.crocushaven.fleet;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.EpochClock;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.consensus.FormationRule;
import org.crocushaven.consensus.GroupHost;
import org.crocushaven.consensus.GroupRouter;
import org.crocushaven.consensus.GroupSettings;
import org.crocushaven.consensus.ReplicaSupervisor;
import org.crocushaven.consensus.ReplicaTiming;
import org.crocushaven.coordination.VoterChange;
import org.crocushaven.evacuation.EvacuationQuery;
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
    private static final ReplicaTiming TIMING = ReplicaTiming.FAST_FAILOVER;
    private static final long TICK_MILLIS = 200;
    private static final long JOIN_TICKS = 5;

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
    private final GroupMembership membership;
    private final ElectionWatch electionWatch;
    private final DepartureLog departures;
    private final UpdateNotices notices;
    private final AnnouncementIntake announcements;
    private final EvacuationIntake evacuations;
    private final FleetCommits commits;
    private final LeaderTerms terms;
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
        this.membership =
                new GroupMembership(
                        settings.instance(),
                        settings.toleratedLosses(),
                        transport,
                        loop,
                        this::group,
                        TIMING,
                        clock);
        this.electionWatch = new ElectionWatch(loop, this::isLeadershipSettled, this::startLeading);
        this.notices = new UpdateNotices(loop, clock, this::notifyGateways);
        this.commits = new FleetCommits(loop, this::group, this::applyCommitted);
        this.departures =
                new DepartureLog(state, change -> commits.commit(MessageCodec.encodeValue(change)));
        this.terms =
                new LeaderTerms(
                        settings,
                        transport,
                        loop,
                        dialect,
                        clock,
                        epochClock,
                        state,
                        registry,
                        pool,
                        this::group,
                        commits,
                        notices::request);
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
        this.evacuations =
                new EvacuationIntake(
                        settings.failureDomains(),
                        state,
                        registry,
                        this::currentLeader,
                        this::askLeader,
                        this::propose,
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
                        FormationRule.MAJORITY,
                        TIMING),
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

    /**
     * Gives the vote of this instance to another one, where one is there; call before {@link
     * #close}.
     *
     * @param limitMillis time after which the returned future completes at the latest
     */
    public CompletableFuture<Void> giveVoteBack(long limitMillis) {
        return CompletableFuture.supplyAsync(
                        () ->
                                new VoteReturn(
                                                settings.instance(),
                                                membership,
                                                transport,
                                                loop,
                                                clock)
                                        .start(limitMillis),
                        loop)
                .thenCompose(returned -> returned);
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

    /**
     * Begins the evacuation of a failure domain, or takes it back; completes when that is
     * committed.
     */
    public CompletableFuture<Void> evacuate(String failureDomain, boolean begins) {
        return evacuations.order(failureDomain, begins);
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

    /** Returns the names of the voters, as far as this instance knows. */
    List<String> voters() {
        return group().voters();
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
        transport.registerHandler(VoterChange.class, (sender, message) -> voterStops(message));
        transport.registerHandler(FleetProposal.class, (sender, message) -> proposed(message));
        transport.registerHandler(FleetRead.class, (sender, message) -> read());
        transport.registerHandler(
                EvacuationQuery.class, (sender, message) -> evacuationRequested(message));
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
        membership.joined(join.instance());
        return CompletableFuture.completedFuture(membership.hint());
    }

    /** Replaces a voter that stops; on an instance that does not lead, only remembers it. */
    private CompletableFuture<Message> voterStops(VoterChange change) {
        if (change.add()) {
            return CompletableFuture.failedFuture(
                    ResultException.of(
                            ResultCode.VOTER_CHANGE_INVALID,
                            change.instance() + " is added by the leader alone"));
        }
        if (!membership.leads()) {
            membership.stopping(change.instance());
            return CompletableFuture.failedFuture(notLeader());
        }
        return membership.replaceStopping(change.instance()).thenApply(done -> membership.hint());
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

    private CompletableFuture<Message> evacuationRequested(EvacuationQuery query) {
        return currentLeader() == null
                ? CompletableFuture.failedFuture(notLeader())
                : CompletableFuture.completedFuture(state.evacuation(query.failureDomain()));
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
        return commits.onLoop(transport.request(known.get(), message, FORWARD_TIMEOUT));
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
        return commits.commitAndApply(command);
    }

    /** Passes a committed change on to the gateways. */
    private void applyCommitted() {
        final FleetLeader activeLeader = currentLeader();
        if (activeLeader != null) {
            activeLeader.refresh();
            notices.request();
        }
    }

    /** Returns the leader of the current term, or null if this instance is not the leader. */
    private FleetLeader currentLeader() {
        return terms.current(stopped);
    }

    /** Returns whether a leader is known and, if it is this instance, has started. */
    private boolean isLeadershipSettled() {
        return stopped
                || terms.hasStarted()
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
        }
        membership.maintainVoters();
        if (ticks++ % JOIN_TICKS == 0 && activeLeader == null) {
            membership.join();
        }
    }

    private ResultException notLeader() {
        return ResultException.of(ResultCode.NOT_LEADER, GROUP);
    }
}
