package org.crocushaven.dispatch;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.admission.LoadGrant;
import org.crocushaven.backend.BackendClient;
import org.crocushaven.backend.BackendServer;
import org.crocushaven.backend.LoadReport;
import org.crocushaven.configuration.AdapterVersion;
import org.crocushaven.configuration.FleetConfiguration;
import org.crocushaven.coordination.DispatchAssignment;
import org.crocushaven.coordination.HeldAssignment;
import org.crocushaven.placement.BackendDispatcher;
import org.crocushaven.placement.BackendSummary;
import org.crocushaven.placement.DispatcherSettings;
import org.crocushaven.placement.FrequencyCostEviction;
import org.crocushaven.placement.PermitRequest;
import org.crocushaven.protocol.Message;
import org.crocushaven.protocol.PeerTransport;
import org.crocushaven.result.ResultCode;

/**
 * Runs the dispatchers that are assigned to this instance.
 *
 * <p>After the session has expired, no permit is granted and no order is sent. Lock rank 30 guards
 * the set of dispatchers.
 */
public final class DispatcherHost {
    private static final long REPORT_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final PeerTransport transport;
    private final DispatcherActions actions;
    private final Supplier<FleetConfiguration> configuration;
    private final BooleanSupplier sessionIsValid;
    private final DispatchListener listener;
    private final NanoClock clock;
    private final Map<String, HostedDispatcher> dispatchers = new ConcurrentHashMap<>();
    private final SentSummaries sentSummaries = new SentSummaries();
    private final PermitReconciliation reconciliation;

    private DispatcherHost(
            PeerTransport transport,
            BackendClient backends,
            Supplier<FleetConfiguration> configuration,
            BooleanSupplier sessionIsValid,
            Supplier<Optional<String>> leader,
            DispatchListener listener,
            NanoClock clock) {
        this.transport = transport;
        this.configuration = configuration;
        this.sessionIsValid = sessionIsValid;
        this.actions =
                new DispatcherActions(transport, backends, sessionIsValid, leader, listener, clock);
        this.reconciliation = new PermitReconciliation(transport, clock);
        this.listener = listener;
        this.clock = clock;
    }

    /**
     * Returns a host without dispatchers.
     *
     * @param sessionIsValid whether this instance's session with the leader is valid
     * @param leader the instance that leads group 0, if known
     */
    public static DispatcherHost create(
            PeerTransport transport,
            BackendClient backends,
            Supplier<FleetConfiguration> configuration,
            BooleanSupplier sessionIsValid,
            Supplier<Optional<String>> leader,
            DispatchListener listener,
            NanoClock clock) {
        return new DispatcherHost(
                transport, backends, configuration, sessionIsValid, leader, listener, clock);
    }

    /** Registers the message handlers; must be called before the transport listens. */
    public void attach() {
        transport.registerHandler(PermitAsk.class, this::handlePermitAsk);
        transport.registerHandler(
                PermitCancel.class,
                (sender, message) -> {
                    runOn(
                            message.backendServer(),
                            dispatcher ->
                                    dispatcher.cancelPermitRequest(
                                            message.requestId(), clock.nanoTime()));
                    return null;
                });
        transport.registerHandler(
                PermitReturn.class,
                (sender, message) -> {
                    runOn(
                            message.backendServer(),
                            dispatcher ->
                                    dispatcher.returnPermit(
                                            message.requestId(),
                                            message.outcome(),
                                            clock.nanoTime()));
                    return null;
                });
        transport.registerHandler(
                ReportForward.class,
                (sender, message) -> {
                    handleReport(message.server(), message.report());
                    return null;
                });
        transport.registerHandler(
                LoadGrant.class,
                (sender, grant) -> {
                    runOn(
                            grant.backendServer(),
                            dispatcher ->
                                    dispatcher.handleLoadGrant(grant.version(), clock.nanoTime()));
                    return null;
                });
    }

    /**
     * Applies the assignments to this instance: creates missing dispatchers, and drops those that
     * are no longer assigned or have another fencing number.
     */
    public synchronized void apply(List<DispatchAssignment> ownAssignments) {
        final Map<String, DispatchAssignment> assignmentsByName =
                ownAssignments.stream()
                        .collect(
                                Collectors.toMap(
                                        assignment -> assignment.server().name(),
                                        assignment -> assignment));
        dispatchers.values().stream()
                .filter(
                        hosted ->
                                !hasSameFencingNumber(
                                        hosted, assignmentsByName.get(hosted.server().name())))
                .toList()
                .forEach(this::drop);
        assignmentsByName.forEach(
                (name, assignment) -> {
                    final HostedDispatcher present = dispatchers.get(name);
                    if (present == null) {
                        start(assignment);
                    } else {
                        present.updateServer(assignment.server(), clock.nanoTime());
                    }
                });
    }

    /** Drops all dispatchers; their leases are never used again. */
    public synchronized void dropAll() {
        List.copyOf(dispatchers.values()).forEach(this::drop);
    }

    /** Returns the dispatcher leases that this instance holds. */
    public List<HeldAssignment> heldLeases() {
        return dispatchers.values().stream()
                .map(hosted -> new HeldAssignment(hosted.server(), hosted.fencingNumber()))
                .toList();
    }

    /** Returns whether this instance dispatches for the backend server. */
    public boolean hosts(String backendServer) {
        return dispatchers.containsKey(backendServer);
    }

    /**
     * Handles a load report; ignored when this instance does not dispatch for the backend server.
     */
    public void handleReport(BackendServer server, LoadReport report) {
        final HostedDispatcher hosted = dispatchers.get(server.name());
        if (hosted != null) {
            final long nowNanos = clock.nanoTime();
            hosted.recordReport(nowNanos);
            hosted.updateServer(server, nowNanos);
            hosted.run(dispatcher -> dispatcher.applyLoadReport(report, nowNanos));
        }
    }

    /** Stops new work for a backend server that has announced that it is draining. */
    public void drain(String backendServer) {
        final HostedDispatcher hosted = dispatchers.get(backendServer);
        if (hosted != null) {
            hosted.markDraining();
            refreshAvailability(hosted);
        }
    }

    /**
     * Reports to all dispatchers that an instance which may hold permits has stopped and that its
     * session has expired.
     */
    public void handleHolderExpired(String instance) {
        dispatchers
                .values()
                .forEach(
                        hosted ->
                                hosted.run(
                                        dispatcher ->
                                                dispatcher.handleHolderExpired(
                                                        instance, clock.nanoTime())));
    }

    /** Applies the resident adapters and the drained backend servers of a new configuration. */
    public void configurationChanged(FleetConfiguration current) {
        dispatchers.values().forEach(hosted -> configure(hosted, current));
    }

    /** Asks instances which permits they still hold; to be called about once a second. */
    public void queryPermitHolders(List<String> reachableInstances) {
        final long nowNanos = clock.nanoTime();
        dispatchers
                .values()
                .forEach(
                        hosted ->
                                reconciliation.queryHolders(hosted, reachableInstances, nowNanos));
    }

    /**
     * Advances the dispatchers to the current time and broadcasts the summaries that are due; to be
     * called about ten times a second.
     */
    public void tick(Consumer<BackendSummary> broadcast) {
        final long nowNanos = clock.nanoTime();
        for (final HostedDispatcher hosted : dispatchers.values()) {
            refreshAvailability(hosted);
            hosted.run(dispatcher -> dispatcher.tick(nowNanos));
            final BackendSummary summary = hosted.summary();
            if (sentSummaries.recordIfDue(summary, nowNanos)) {
                broadcast.accept(summary);
            }
        }
    }

    private CompletableFuture<Message> handlePermitAsk(String sender, PermitAsk ask) {
        final long nowNanos = clock.nanoTime();
        final HostedDispatcher hosted = dispatchers.get(ask.backendServer());
        if (hosted == null || !sessionIsValid.getAsBoolean()) {
            return completedRefusal(ResultCode.NOT_DISPATCHER);
        }
        if (!hosted.isUsable(nowNanos, REPORT_TIMEOUT_NANOS)) {
            return completedRefusal(ResultCode.NO_BACKEND_SERVER);
        }
        final CompletableFuture<Message> answer = hosted.registerRequest(ask.requestId());
        final PermitRequest request =
                new PermitRequest(
                        ask.requestId(),
                        sender,
                        ask.organisation(),
                        ask.weight(),
                        ask.version(),
                        ask.tokens(),
                        ask.urgency(),
                        nowNanos + ask.remainingNanos(),
                        nowNanos - ask.waitedNanos());
        hosted.run(dispatcher -> dispatcher.requestPermit(request, nowNanos));
        return answer;
    }

    private void runOn(String backendServer, Consumer<BackendDispatcher> input) {
        final HostedDispatcher hosted = dispatchers.get(backendServer);
        if (hosted != null) {
            hosted.run(input);
        }
    }

    private void start(DispatchAssignment assignment) {
        final long nowNanos = clock.nanoTime();
        final BackendServer server = assignment.server();
        final BackendDispatcher dispatcher =
                BackendDispatcher.create(
                        server,
                        assignment.fencingNumber(),
                        DispatcherSettings.defaults(),
                        FrequencyCostEviction.create(
                                FrequencyCostEviction.DEFAULT_HALF_LIFE_NANOS, nowNanos),
                        nowNanos);
        final HostedDispatcher[] hosted = new HostedDispatcher[1];
        hosted[0] =
                new HostedDispatcher(
                        server,
                        assignment.fencingNumber(),
                        dispatcher,
                        action -> actions.execute(hosted[0], action),
                        nowNanos);
        dispatchers.put(server.name(), hosted[0]);
        configure(hosted[0], configuration.get());
        if (assignment.draining()) {
            drain(server.name());
        }
        listener.dispatchingStarted(assignment);
    }

    private void drop(HostedDispatcher hosted) {
        dispatchers.remove(hosted.server().name(), hosted);
        hosted.close()
                .forEach(
                        answer -> answer.complete(PermitAnswer.refusal(ResultCode.NOT_DISPATCHER)));
        listener.dispatchingEnded(hosted.server().name(), hosted.fencingNumber());
    }

    private void configure(HostedDispatcher hosted, FleetConfiguration current) {
        hosted.setDrainedByOperator(current.drained().contains(hosted.server().name()));
        final Set<AdapterVersion> residents =
                Optional.ofNullable(current.services().get(hosted.server().service()))
                        .map(service -> Set.copyOf(service.residentAdapters()))
                        .orElse(Set.of());
        hosted.run(dispatcher -> dispatcher.setResidentVersions(residents, clock.nanoTime()));
    }

    private void refreshAvailability(HostedDispatcher hosted) {
        final long nowNanos = clock.nanoTime();
        final boolean usable = hosted.isUsable(nowNanos, REPORT_TIMEOUT_NANOS);
        hosted.run(dispatcher -> dispatcher.setAcceptingWork(usable, nowNanos));
    }

    private static boolean hasSameFencingNumber(
            HostedDispatcher hosted, DispatchAssignment assignment) {
        return assignment != null && assignment.fencingNumber() == hosted.fencingNumber();
    }

    private static CompletableFuture<Message> completedRefusal(ResultCode code) {
        return CompletableFuture.completedFuture(PermitAnswer.refusal(code));
    }
}
