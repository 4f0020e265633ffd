package org.crocushaven.daemon;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import org.crocushaven.coordination.ConfigurationReplica;
import org.crocushaven.coordination.GroupLeaders;
import org.crocushaven.coordination.LeaderHint;
import org.crocushaven.coordination.NonVoterReplica;
import org.crocushaven.coordination.ProposalForward;
import org.crocushaven.coordination.SessionHeartbeat;
import org.crocushaven.coordination.VoterChange;
import org.crocushaven.membership.InstanceRecord;
import org.crocushaven.membership.MembershipView;
import org.crocushaven.protocol.PeerTransport;
import org.crocushaven.publishing.ConfigurationStateMachine;

/** Control node of a non-voter: it follows the configuration of the voters. */
final class NonVoterNode implements ControlNode {
    private final NonVoterReplica replica;
    private final GroupLeaders leaders;
    private final MembershipView membership;

    private NonVoterNode(NonVoterReplica replica, GroupLeaders leaders, MembershipView membership) {
        this.replica = replica;
        this.leaders = leaders;
        this.membership = membership;
    }

    /**
     * Creates a node with an empty configuration, and registers handlers that answer with the known
     * leader; call before the transport listens.
     */
    static NonVoterNode create(
            PeerTransport transport,
            ConfigurationStateMachine configuration,
            GroupLeaders leaders,
            MembershipView membership) {
        transport.registerHandler(
                SessionHeartbeat.class,
                (sender, heartbeat) -> hint(leaders, ControlGroups.CONFIGURATION));
        transport.registerHandler(
                ProposalForward.class, (sender, forward) -> hint(leaders, forward.groupId()));
        transport.registerHandler(
                VoterChange.class, (sender, change) -> hint(leaders, change.groupId()));
        return new NonVoterNode(
                NonVoterReplica.create(configuration, transport), leaders, membership);
    }

    @Override
    public ConfigurationReplica configuration() {
        return replica;
    }

    @Override
    public boolean isLeader(int groupId) {
        return false;
    }

    @Override
    public long term() {
        return 0;
    }

    @Override
    public List<String> voters() {
        return membership.instances().stream()
                .filter(InstanceRecord::canBecomeVoter)
                .map(InstanceRecord::name)
                .toList();
    }

    @Override
    public List<String> sessions() {
        return List.of();
    }

    @Override
    public Optional<String> leader() {
        return leaders.knownLeader(ControlGroups.CONFIGURATION);
    }

    @Override
    public void start(ScheduledExecutorService timers) {
        // Has no periodic tasks: the answers to session heartbeats drive the replica.
    }

    @Override
    public void close() {
        // Holds nothing that has to be closed.
    }

    private static CompletableFuture<LeaderHint> hint(GroupLeaders leaders, int groupId) {
        return CompletableFuture.completedFuture(
                new LeaderHint(groupId, leaders.knownLeader(groupId).orElse("")));
    }
}
