package org.crocushaven.daemon;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.consensus.GroupHost;
import org.crocushaven.consensus.GroupRouter;
import org.crocushaven.consensus.GroupSettings;
import org.crocushaven.consensus.ReplicatedGroup;
import org.crocushaven.consensus.StateMachine;
import org.crocushaven.coordination.ConfigurationReplica;
import org.crocushaven.coordination.LeaderService;
import org.crocushaven.coordination.ProposalHandler;
import org.crocushaven.coordination.SessionSettings;
import org.crocushaven.coordination.VoterReplica;
import org.crocushaven.protocol.PeerTransport;
import org.crocushaven.publishing.ConfigurationStateMachine;
import org.crocushaven.settings.DaemonSettings;

/** Control node of a voter: it hosts a replica of each group and can be elected as leader. */
final class VoterNode implements ControlNode {
    private final GroupHost configurationGroup;
    private final Map<Integer, GroupHost> groups;
    private final LeaderService leaderService;
    private final VoterReplica replica;

    private VoterNode(Map<Integer, GroupHost> groups, LeaderService leaderService) {
        this.groups = Map.copyOf(groups);
        this.configurationGroup = groups.get(ControlGroups.CONFIGURATION);
        this.leaderService = leaderService;
        this.replica = VoterReplica.of(configurationGroup);
    }

    /** Starts the replicas from the data folder; call before the transport listens. */
    static VoterNode open(
            DaemonSettings settings,
            Path dataFolder,
            PeerTransport transport,
            ConfigurationStateMachine configuration,
            StateMachine claims,
            NanoClock clock,
            long seed) {
        final GroupRouter router = GroupRouter.create(transport);
        final Map<Integer, GroupHost> groups =
                Map.of(
                        ControlGroups.CONFIGURATION,
                        startGroup(
                                ControlGroups.CONFIGURATION,
                                settings,
                                router,
                                dataFolder,
                                configuration,
                                clock,
                                seed),
                        ControlGroups.CLAIMS,
                        startGroup(
                                ControlGroups.CLAIMS,
                                settings,
                                router,
                                dataFolder,
                                claims,
                                clock,
                                seed + 1));
        final LeaderService leaderService =
                LeaderService.create(
                        groups.get(ControlGroups.CONFIGURATION),
                        transport,
                        () -> configuration.configuration().organisations().values(),
                        settings.loadBudget(),
                        SessionSettings.defaults(),
                        clock);
        leaderService.attach();
        ProposalHandler.attach(transport, Map.<Integer, ReplicatedGroup>copyOf(groups));
        ConfigurationPageHandler.attach(transport, groups.get(ControlGroups.CONFIGURATION));
        return new VoterNode(groups, leaderService);
    }

    @Override
    public ConfigurationReplica configuration() {
        return replica;
    }

    @Override
    public boolean isLeader(int groupId) {
        return groups.get(groupId).holdsLeaderLease();
    }

    @Override
    public long term() {
        return configurationGroup.term();
    }

    @Override
    public List<String> voters() {
        return configurationGroup.voters();
    }

    @Override
    public List<String> sessions() {
        return leaderService.sessions();
    }

    @Override
    public Optional<String> leader() {
        return configurationGroup.leader();
    }

    @Override
    public void start(ScheduledExecutorService timers) {
        leaderService.start(timers);
    }

    @Override
    public void close() {
        leaderService.stop();
        groups.values().forEach(GroupHost::close);
    }

    private static GroupHost startGroup(
            int groupId,
            DaemonSettings settings,
            GroupRouter router,
            Path dataFolder,
            StateMachine machine,
            NanoClock clock,
            long seed) {
        return GroupHost.start(
                GroupSettings.of(groupId, settings.instance(), settings.initialVoters()),
                router,
                dataFolder,
                machine,
                clock,
                seed);
    }
}
