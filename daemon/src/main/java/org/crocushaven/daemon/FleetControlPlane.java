package org.crocushaven.daemon;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.crocushaven.backend.BackendServer;
import org.crocushaven.configuration.AdapterVersion;
import org.crocushaven.configuration.ChangeAnswer;
import org.crocushaven.configuration.FleetConfiguration;
import org.crocushaven.configuration.NumberedChange;
import org.crocushaven.coordination.DispatchAssignment;
import org.crocushaven.coordination.LeaderClient;
import org.crocushaven.coordination.StopOrder;
import org.crocushaven.coordination.VoterChange;
import org.crocushaven.membership.InstanceRecord;
import org.crocushaven.membership.MembershipView;
import org.crocushaven.operator.ControlPlane;
import org.crocushaven.placement.BackendSummary;
import org.crocushaven.protocol.PeerTransport;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.crocushaven.serving.FleetView;
import org.crocushaven.status.BackendStatus;
import org.crocushaven.status.FleetStatus;
import org.crocushaven.status.InstanceStatus;
import org.crocushaven.status.VoterStatus;

/** Executes the commands and queries of operators through the daemon's components. */
final class FleetControlPlane implements ControlPlane {
    private static final Duration VOTER_CHANGE_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(2);

    private final ConfigurationClient configurationClient;
    private final Supplier<FleetConfiguration> configuration;
    private final ControlNode control;
    private final LeaderClient leaderClient;
    private final MembershipView membership;
    private final FleetView fleet;
    private final PeerTransport transport;
    private final LongSupplier controlStateAgeMillis;

    FleetControlPlane(
            ConfigurationClient configurationClient,
            Supplier<FleetConfiguration> configuration,
            ControlNode control,
            LeaderClient leaderClient,
            MembershipView membership,
            FleetView fleet,
            PeerTransport transport,
            LongSupplier controlStateAgeMillis) {
        this.configurationClient = configurationClient;
        this.configuration = configuration;
        this.control = control;
        this.leaderClient = leaderClient;
        this.membership = membership;
        this.fleet = fleet;
        this.transport = transport;
        this.controlStateAgeMillis = controlStateAgeMillis;
    }

    @Override
    public CompletableFuture<ChangeAnswer> submit(NumberedChange change) {
        return configurationClient.submit(change);
    }

    @Override
    public FleetConfiguration configuration() {
        return configuration.get();
    }

    @Override
    public FleetStatus status() {
        return new FleetStatus(
                membership.self().name(),
                configuration().revision(),
                control.leader(),
                control.term(),
                controlStateAgeMillis.getAsLong(),
                membership.instances().stream().map(FleetControlPlane::instanceStatus).toList());
    }

    @Override
    public List<BackendStatus> backends() {
        final Map<String, DispatchAssignment> assignments = fleet.assignments();
        return assignments.keySet().stream()
                .sorted()
                .map(name -> backendStatus(assignments.get(name)))
                .toList();
    }

    @Override
    public List<VoterStatus> voters() {
        final Optional<String> leader = control.leader();
        return control.voters().stream()
                .map(
                        name ->
                                new VoterStatus(
                                        name,
                                        membership
                                                .find(name)
                                                .map(InstanceRecord::failureDomain)
                                                .orElse(""),
                                        membership
                                                .find(name)
                                                .map(FleetControlPlane::instanceState)
                                                .orElse("unknown"),
                                        leader.filter(name::equals).isPresent()))
                .toList();
    }

    @Override
    public CompletableFuture<Void> addVoter(String instance) {
        if (membership.find(instance).filter(InstanceRecord::canBecomeVoter).isEmpty()) {
            return CompletableFuture.failedFuture(
                    ResultException.of(
                            ResultCode.VOTER_CHANGE_INVALID,
                            instance + " is not a known instance with a data folder"));
        }
        return changeVoter(instance, true);
    }

    @Override
    public CompletableFuture<Void> removeVoter(String instance) {
        return changeVoter(instance, false);
    }

    @Override
    public CompletableFuture<Void> drainInstance(String instance) {
        if (membership.find(instance).isEmpty()) {
            return CompletableFuture.failedFuture(
                    ResultException.of(ResultCode.UNKNOWN_INSTANCE, instance));
        }
        return transport
                .request(instance, new StopOrder(instance), STOP_TIMEOUT)
                .thenAccept(answer -> {});
    }

    /** Adds or removes a voter in every group, one group after another. */
    private CompletableFuture<Void> changeVoter(String instance, boolean add) {
        CompletableFuture<Void> result = CompletableFuture.completedFuture(null);
        for (final int groupId : ControlGroups.ALL) {
            result =
                    result.thenCompose(
                            done ->
                                    leaderClient
                                            .request(
                                                    groupId,
                                                    new VoterChange(groupId, instance, add),
                                                    VOTER_CHANGE_TIMEOUT,
                                                    VOTER_CHANGE_TIMEOUT)
                                            .thenAccept(answer -> {}));
        }
        return result;
    }

    private BackendStatus backendStatus(DispatchAssignment assignment) {
        final BackendServer server = assignment.server();
        final Optional<BackendSummary> summary = fleet.summary(server.name());
        return new BackendStatus(
                server.name(),
                server.service(),
                server.failureDomain(),
                server.host() + ":" + server.port(),
                backendState(assignment, summary),
                server.incarnation(),
                summary.map(BackendSummary::running).orElse(0),
                summary.map(BackendSummary::queueLength).orElse(0),
                server.adapterSlots(),
                summary.map(FleetControlPlane::loaded).orElse(List.of()),
                Optional.of(assignment.dispatcher()));
    }

    private String backendState(DispatchAssignment assignment, Optional<BackendSummary> summary) {
        if (configuration().drained().contains(assignment.server().name())) {
            return "drained";
        }
        if (summary.isEmpty()) {
            return "silent";
        }
        return assignment.draining() || summary.get().draining() ? "draining" : "serving";
    }

    private static List<String> loaded(BackendSummary summary) {
        return summary.loaded().stream().sorted().map(AdapterVersion::toString).toList();
    }

    private static InstanceStatus instanceStatus(InstanceRecord record) {
        return new InstanceStatus(
                record.name(),
                record.failureDomain(),
                instanceState(record),
                record.canBecomeVoter(),
                record.incarnation(),
                record.host() + ":" + record.callerPort(),
                record.host() + ":" + record.operatorPort());
    }

    private static String instanceState(InstanceRecord record) {
        return record.state().name().toLowerCase(Locale.ROOT);
    }
}
