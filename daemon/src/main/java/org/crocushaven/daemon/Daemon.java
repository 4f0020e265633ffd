package org.crocushaven.daemon;

import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.UnaryOperator;
import org.agrona.concurrent.NanoClock;
import org.agrona.concurrent.SystemEpochClock;
import org.agrona.concurrent.SystemNanoClock;
import org.crocushaven.backend.BackendClientLimits;
import org.crocushaven.backend.BackendDirectory;
import org.crocushaven.backend.HttpBackendClient;
import org.crocushaven.caller.CallerEnvironment;
import org.crocushaven.caller.CallerServer;
import org.crocushaven.caller.FixedBytesPerToken;
import org.crocushaven.configuration.ChangeAnswer;
import org.crocushaven.configuration.FleetConfiguration;
import org.crocushaven.configuration.NumberedChange;
import org.crocushaven.coordination.GroupLeaders;
import org.crocushaven.coordination.LeaderClient;
import org.crocushaven.coordination.ProposalClient;
import org.crocushaven.coordination.SessionClient;
import org.crocushaven.coordination.SessionSettings;
import org.crocushaven.coordination.StopOrder;
import org.crocushaven.dispatch.BackendNotice;
import org.crocushaven.dispatch.DispatcherHost;
import org.crocushaven.membership.InstanceRecord;
import org.crocushaven.membership.MembershipService;
import org.crocushaven.membership.MembershipSettings;
import org.crocushaven.observability.DecisionLog;
import org.crocushaven.observability.EventLine;
import org.crocushaven.observability.Metrics;
import org.crocushaven.once.ClaimLimits;
import org.crocushaven.once.ClaimTable;
import org.crocushaven.operator.OperatorEnvironment;
import org.crocushaven.placement.BackendSummary;
import org.crocushaven.protocol.PeerAddresses;
import org.crocushaven.protocol.TcpPeerTransport;
import org.crocushaven.publishing.ConfigurationStateMachine;
import org.crocushaven.security.ActiveRequests;
import org.crocushaven.security.FreshnessBound;
import org.crocushaven.security.KeyCheck;
import org.crocushaven.serving.FleetView;
import org.crocushaven.serving.PermitClient;
import org.crocushaven.serving.RequestCoordinator;
import org.crocushaven.serving.ServingEnvironment;
import org.crocushaven.serving.ShareGate;
import org.crocushaven.settings.DaemonSettings;

/**
 * Runs all components of a daemon.
 *
 * <p>Components are created first, then attached to the transport, then started; a graceful stop
 * lets requests in flight finish and closes the transport and the event loops last.
 */
public final class Daemon {
    private static final Duration LEAVE_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration ANSWER_TAKING_TIMEOUT =
            Duration.ofMillis(CallerServer.ANSWER_TAKING_MILLIS);

    private final DaemonSettings settings;
    private final NanoClock clock = SystemNanoClock.INSTANCE;
    private final DaemonThreads threads = new DaemonThreads();
    private final Metrics metrics = Metrics.create();
    private final DecisionLog decisions =
            DecisionLog.of(SystemEpochClock.INSTANCE, DecisionLog.DEFAULT_CAPACITY);
    private final DaemonEvents events = new DaemonEvents(decisions, metrics);
    private final ConfigurationStateMachine configuration = ConfigurationStateMachine.create();
    private final ActiveRequests activeRequests = new ActiveRequests();
    private final FreshnessBound freshness =
            FreshnessBound.of(clock, FreshnessBound.DEFAULT_BOUND_MILLIS);
    private final MembershipService membership;
    private final TcpPeerTransport transport;
    private final GroupLeaders leaders;
    private final ControlNode control;
    private final LeaderClient leaderClient;
    private final ProposalClient proposals;
    private final ConfigurationClient configurationClient;
    private final ClaimComponents claims;
    private final ClaimTable claimTable = ClaimTable.create(ClaimLimits.DEFAULT);
    private final HttpBackendClient backends;
    private final FleetView fleet;
    private final ShareGate shares;
    private final DispatcherHost dispatchers;
    private final PermitClient permits;
    private final InstanceSession sessionState;
    private final SessionClient session;
    private final BackendDirectory directory;
    private final BackendWatcher watcher;
    private final FleetBroadcast broadcast;
    private final RequestCoordinator coordinator;
    private final FleetExplanations explanations;
    private final FleetMaintenance maintenance;
    private final Runnable stopHandler;
    private DaemonPorts ports;
    private volatile boolean stopping;

    private Daemon(
            DaemonSettings settings,
            long incarnation,
            long seed,
            Runnable stopHandler,
            UnaryOperator<PeerAddresses> addressOverride) {
        this.settings = settings;
        this.membership =
                MembershipService.create(
                        self(settings, incarnation),
                        settings.seeds(),
                        MembershipSettings.defaults(),
                        clock,
                        new Random(seed));
        this.transport =
                TcpPeerTransport.create(
                        settings.instance(),
                        incarnation,
                        threads.controlLoops(),
                        addressOverride.apply(membership),
                        events,
                        clock);
        this.leaders = GroupLeaders.create(membership);
        this.control = controlNode(seed);
        this.leaderClient = LeaderClient.create(transport, leaders, threads.timers(), clock);
        this.proposals = ProposalClient.over(leaderClient);
        this.claims = new ClaimComponents(proposals, membership, threads.timers(), clock);
        this.configurationClient = new ConfigurationClient(proposals);
        this.backends =
                HttpBackendClient.of(threads.requestLoops(), BackendClientLimits.defaults());
        this.fleet = FleetView.create(membership, seed, clock.nanoTime());
        this.shares = ShareGate.create(incarnation, clock);
        this.dispatchers =
                DispatcherHost.create(
                        transport,
                        backends,
                        configuration::configuration,
                        this::isSessionValid,
                        () -> leaders.knownLeader(ControlGroups.CONFIGURATION),
                        events,
                        clock);
        this.permits = PermitClient.create(transport, fleet, clock);
        this.sessionState =
                new InstanceSession(settings.instance(), fleet, dispatchers, shares, clock);
        this.session =
                SessionClient.create(
                        membership,
                        transport,
                        leaders,
                        control.configuration(),
                        sessionState,
                        freshness::confirmedAt,
                        SessionSettings.defaults(),
                        clock);
        this.broadcast = new FleetBroadcast(membership, transport);
        this.directory =
                BackendDirectory.of(
                        clock, name -> configuration.configuration().services().containsKey(name));
        this.watcher =
                new BackendWatcher(sessionState, fleet, dispatchers, transport, broadcast, clock);
        this.coordinator = RequestCoordinator.create(servingEnvironment());
        this.explanations = new FleetExplanations(membership, transport, decisions);
        this.maintenance =
                new FleetMaintenance(
                        membership,
                        directory,
                        fleet,
                        dispatchers,
                        permits,
                        activeRequests,
                        freshness,
                        broadcast,
                        threads.timers(),
                        clock);
        this.stopHandler = stopHandler;
    }

    /**
     * Starts a daemon; returns when every port is open.
     *
     * @param stopHandler runs when an operator orders this instance to stop
     */
    public static Daemon start(DaemonSettings settings, Runnable stopHandler) {
        return start(settings, stopHandler, UnaryOperator.identity());
    }

    /**
     * Starts a daemon that connects to other instances through replaced addresses.
     *
     * @param stopHandler runs when an operator orders this instance to stop
     * @param addressOverride maps the known addresses of other instances to the ones to connect to
     */
    public static Daemon start(
            DaemonSettings settings,
            Runnable stopHandler,
            UnaryOperator<PeerAddresses> addressOverride) {
        final long incarnation = System.currentTimeMillis();
        final Daemon daemon =
                new Daemon(
                        settings,
                        incarnation,
                        incarnation ^ settings.instance().hashCode(),
                        stopHandler,
                        addressOverride);
        daemon.attach();
        daemon.listen();
        daemon.startTimers();
        EventLine.of("started")
                .with("instance", settings.instance())
                .with("failure_domain", settings.failureDomain())
                .with("incarnation", incarnation)
                .with("voter", settings.dataFolder().isPresent())
                .info();
        return daemon;
    }

    /** Submits a change of the configuration; completes once it is committed or refused. */
    public CompletableFuture<ChangeAnswer> submit(NumberedChange change) {
        return configurationClient.submit(change);
    }

    /** Returns whether the control state is fresh and requests can be served. */
    public boolean isReady() {
        return freshness.isFresh() && session.isValid();
    }

    /** Returns the configuration in force on this instance. */
    public FleetConfiguration configuration() {
        return configuration.configuration();
    }

    /**
     * Stops gracefully: accepts no new requests, lets requests in flight finish within the grace
     * time, answers those that are left, returns its dispatcher leases to the leader, and leaves
     * the fleet.
     */
    public void stop() {
        stopping = true;
        EventLine.of("stopping").with("requests", coordinator.inFlight()).info();
        membership.announceLeaving();
        ports.stopAcceptingCallers();
        await(
                CompletableFuture.allOf(ports.whenCallersIdle(), coordinator.whenIdle()),
                Duration.ofMillis(settings.limits().stopGraceMillis()));
        final int unfinished = coordinator.inFlight();
        ports.endCallersRequests();
        await(ports.whenCallersIdle(), ANSWER_TAKING_TIMEOUT);
        await(session.leave(), LEAVE_TIMEOUT);
        session.stop();
        ports.close();
        membership.stop();
        control.close();
        threads.stopTimers();
        backends.close();
        transport.close();
        threads.stopEventLoops();
        EventLine.of("stopped").with("cut", unfinished).info();
    }

    private static InstanceRecord self(DaemonSettings settings, long incarnation) {
        return new InstanceRecord(
                settings.instance(),
                settings.failureDomain(),
                settings.host(),
                settings.innerPort(),
                settings.callerPort(),
                settings.operatorPort(),
                incarnation,
                0,
                settings.dataFolder().isPresent(),
                InstanceRecord.State.ALIVE);
    }

    private ControlNode controlNode(long seed) {
        return settings.dataFolder()
                .<ControlNode>map(
                        folder ->
                                VoterNode.open(
                                        settings,
                                        folder,
                                        transport,
                                        configuration,
                                        claimTable,
                                        clock,
                                        seed))
                .orElseGet(
                        () -> NonVoterNode.create(transport, configuration, leaders, membership));
    }

    private ServingEnvironment servingEnvironment() {
        return new ServingEnvironment(
                settings.instance(),
                settings.failureDomain(),
                configuration::configuration,
                KeyCheck.of(freshness),
                activeRequests,
                shares,
                claims.gate(membership.self()),
                fleet,
                permits,
                backends,
                this::isSessionValid,
                events,
                (task, delay) ->
                        threads.timers().schedule(task, delay.toMillis(), TimeUnit.MILLISECONDS),
                clock);
    }

    private boolean isSessionValid() {
        return session.isValid();
    }

    private void attach() {
        membership.attach(transport);
        membership.addListener(events::membershipChanged);
        membership.addListener(maintenance);
        dispatchers.attach();
        permits.attach();
        transport.registerHandler(
                BackendSummary.class,
                (sender, summary) -> {
                    fleet.apply(summary, clock.nanoTime());
                    return null;
                });
        transport.registerHandler(
                BackendNotice.class,
                (sender, notice) -> {
                    watcher.applyStateChange(notice.announcedServer());
                    return null;
                });
        explanations.attach();
        transport.registerHandler(
                StopOrder.class,
                (sender, order) -> {
                    threads.timers().execute(stopHandler);
                    return CompletableFuture.completedFuture(order);
                });
        directory.addListener(watcher);
        configuration.addListener(this::configurationApplied);
        shares.setLeaderRequest(session::requestShares);
    }

    private void listen() {
        transport.listen(settings.host(), settings.innerPort());
        ports =
                DaemonPorts.open(
                        settings, threads, directory, callerEnvironment(), operatorEnvironment());
    }

    private CallerEnvironment callerEnvironment() {
        return new CallerEnvironment(
                settings.instance(),
                settings.limits(),
                clock,
                SystemEpochClock.INSTANCE,
                coordinator,
                key -> Models.permitted(configuration.configuration(), key),
                FixedBytesPerToken.defaults(),
                events);
    }

    private OperatorEnvironment operatorEnvironment() {
        final FleetControlPlane controlPlane =
                new FleetControlPlane(
                        configurationClient,
                        configuration::configuration,
                        control,
                        leaderClient,
                        membership,
                        fleet,
                        transport,
                        freshness::ageMillis);
        return new OperatorEnvironment(
                settings.instance(),
                settings.operatorKeyHash(),
                controlPlane,
                explanations,
                this::notReadyReason,
                new DaemonMetrics(metrics, transport, control, coordinator, permits));
    }

    private Optional<String> notReadyReason() {
        if (stopping) {
            return Optional.of("stopping");
        }
        return isReady() ? Optional.empty() : Optional.of("control state is not fresh");
    }

    private void startTimers() {
        membership.start(threads.timers());
        control.start(threads.timers());
        session.start(threads.timers());
        maintenance.start();
        claims.startExpiry(control);
    }

    private void configurationApplied(FleetConfiguration current) {
        metrics.setRevision(current.revision());
        activeRequests.cancelUngranted(current);
        dispatchers.configurationChanged(current);
        EventLine.of("configuration").with("revision", current.revision()).info();
    }

    private static void await(CompletableFuture<?> future, Duration timeout) {
        try {
            future.get(timeout.toMillis(), TimeUnit.MILLISECONDS);
        } catch (TimeoutException | ExecutionException failure) {
            EventLine.of("stop-overdue").with("after_millis", timeout.toMillis()).warn();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
