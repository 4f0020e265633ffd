package org.crocushaven.consensus;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.crocushaven.fuzz.FaultCounts;
import org.crocushaven.protocol.PeerTransport;

/** One replica with its own disk and clock and a process that can crash and restart. */
final class SimulatedReplica implements StateMachine, GroupEvents {
    private static final int COMPACTION_ENTRIES = 25;
    private static final int CHUNK_BYTES = 64;
    private static final int BATCH_BYTES = 200;
    private static final int RETAINED_ENTRIES = 5;

    private GroupSettings settings;
    private final PeerTransport transport;
    private final ClusterOracle oracle;
    private final FaultCounts<ReplicaFault> counts;
    private final SplittableRandom random;
    private final double clockRate;
    private final List<String> commands = new ArrayList<>();
    private MemoryLogStore store;
    private ReplicaCore core;
    private GroupLoop loop;
    private AppliedState applied;
    private GroupView view;
    private VoterMaintenance maintenance;
    private long globalNanos;
    private long frozenUntilNanos;

    SimulatedReplica(
            String name,
            List<String> initialVoters,
            FormationRule formation,
            ReplicaTiming timing,
            PeerTransport transport,
            ClusterOracle oracle,
            FaultCounts<ReplicaFault> counts,
            SplittableRandom random) {
        this.settings = settings(name, initialVoters, formation, timing);
        this.transport = transport;
        this.oracle = oracle;
        this.counts = counts;
        this.random = random;
        this.clockRate = 0.97 + random.nextDouble() * 0.06;
        this.store = new MemoryLogStore(randomIdentity(), random, counts);
    }

    private static GroupSettings settings(
            String name,
            List<String> initialVoters,
            FormationRule formation,
            ReplicaTiming timing) {
        return new GroupSettings(
                0,
                name,
                initialVoters,
                formation,
                timing,
                BATCH_BYTES,
                CHUNK_BYTES,
                COMPACTION_ENTRIES,
                RETAINED_ENTRIES);
    }

    String name() {
        return settings.instance();
    }

    boolean isUp() {
        return loop != null;
    }

    boolean isFrozen(long nowNanos) {
        return nowNanos < frozenUntilNanos;
    }

    long frozenUntilNanos() {
        return frozenUntilNanos;
    }

    long identity() {
        return store.identity();
    }

    /** Returns the last view, also while the process is down. */
    GroupView view() {
        return view;
    }

    ReplicaCore core() {
        return core;
    }

    List<String> commands() {
        return commands;
    }

    void start(long nowNanos) {
        setGlobalTime(nowNanos);
        commands.clear();
        final GroupRouter router = GroupRouter.create(transport);
        core =
                ReplicaCore.create(
                        settings,
                        store.identity(),
                        store.recovered(),
                        random.split(),
                        localNanos());
        applied = new AppliedState(this, core.configurationAt(core.commitIndex()));
        store.recovered().snapshot().ifPresent(applied::restore);
        loop = new GroupLoop(settings, core, store, applied, router, this::localNanos, this);
        router.register(0, (sender, message) -> loop.receive(sender, message, localNanos()));
        view = loop.view();
        maintenance = new VoterMaintenance(1, settings.timing(), localNanos());
    }

    /** Returns what this process knows of the voters since it started. */
    VoterMaintenance maintenance() {
        return maintenance;
    }

    /** Records that another instance was heard outside of the group. */
    void hear(String other, long nowNanos) {
        setGlobalTime(nowNanos);
        maintenance.heard(other, localNanos());
    }

    /** Records that this process runs. */
    void observe(long nowNanos) {
        setGlobalTime(nowNanos);
        maintenance.observe(localNanos());
    }

    void freeze(long untilNanos) {
        frozenUntilNanos = untilNanos;
    }

    void setCrashChance(double chance) {
        store.setCrashChance(chance);
    }

    /** Lets the replica stop at every write after a number of further write steps. */
    void fillDiskAfter(int steps) {
        store.fillAfter(steps);
    }

    /** Ends the effect of {@link #fillDiskAfter}. */
    void makeRoom() {
        store.makeRoom();
    }

    void crash() {
        if (core.isLeader() && core.lastIndex() > core.commitIndex()) {
            counts.count(ReplicaFault.LEADER_LOST_BEFORE_COMMIT);
        }
        counts.count(ReplicaFault.CRASHED);
        store.crash();
        loop = null;
    }

    /** Loses the disk, and with it the list of first voters where that list counts only there. */
    void loseDisk() {
        counts.count(ReplicaFault.DISK_LOST);
        if (settings.formation() == FormationRule.MAJORITY) {
            settings = settings(name(), List.of(), settings.formation(), settings.timing());
        }
        store = new MemoryLogStore(randomIdentity(), random, counts);
    }

    void receive(String sender, GroupMessage message, long nowNanos) {
        setGlobalTime(nowNanos);
        maintenance.contacted(sender, localNanos(), localNanos());
        loop.receive(sender, message, localNanos());
    }

    /** Executes all pending output; returns false when the process crashed during a write. */
    boolean finishRound(long nowNanos) {
        setGlobalTime(nowNanos);
        try {
            loop.finishRound();
        } catch (SimulatedCrash crash) {
            crash();
            return false;
        }
        view = loop.view();
        if (core.isLeader()) {
            oracle.recordLeader(core.term(), name() + '#' + identity());
        }
        return true;
    }

    void propose(String command) {
        final CompletableFuture<byte[]> result = new CompletableFuture<>();
        loop.propose(command.getBytes(StandardCharsets.UTF_8), result);
        result.whenComplete(
                (index, failure) -> {
                    if (failure == null) {
                        counts.count(ReplicaFault.COMMAND_ACKNOWLEDGED);
                        final String text = new String(index, StandardCharsets.UTF_8);
                        oracle.recordAcknowledged(command, Long.parseLong(text));
                    } else {
                        counts.count(ReplicaFault.COMMAND_UNKNOWN);
                    }
                });
    }

    CompletableFuture<Void> addVoter(String name) {
        final CompletableFuture<Void> result = new CompletableFuture<>();
        loop.addVoter(name, result, localNanos());
        return result;
    }

    CompletableFuture<Void> removeVoter(String name) {
        final CompletableFuture<Void> result = new CompletableFuture<>();
        loop.removeVoter(name, result, localNanos());
        return result;
    }

    /** Returns whether the published view grants this replica the leader lease now. */
    boolean holdsLease(long nowNanos) {
        setGlobalTime(nowNanos);
        return isUp()
                && view.leaseEndNanos().isPresent()
                && view.leaseEndNanos().getAsLong() - localNanos() > 0;
    }

    long appliedIndex() {
        return applied.appliedIndex();
    }

    @Override
    public byte[] apply(long index, byte[] command) {
        final String text = new String(command, StandardCharsets.UTF_8);
        oracle.recordApplied(index, text);
        commands.add(text);
        return Long.toString(index).getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public byte[] snapshot() {
        counts.count(ReplicaFault.COMPACTED);
        return String.join(",", commands).getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public void restore(long index, byte[] snapshot) {
        commands.clear();
        if (snapshot.length > 0) {
            final String joined = new String(snapshot, StandardCharsets.UTF_8);
            commands.addAll(List.of(joined.split(",")));
        }
        oracle.checkRestored(index, commands);
    }

    @Override
    public void leaderChanged(long term, Optional<String> leader) {
        if (leader.isPresent()) {
            counts.count(ReplicaFault.LEADER_CHANGED);
        }
    }

    @Override
    public void snapshotInstalled(long index) {
        counts.count(ReplicaFault.SNAPSHOT_INSTALLED);
    }

    @Override
    public void votersChanged(List<String> voters) {
        counts.count(ReplicaFault.VOTERS_CHANGED);
    }

    private long localNanos() {
        return (long) (globalNanos * clockRate);
    }

    private void setGlobalTime(long nowNanos) {
        globalNanos = nowNanos;
    }

    private long randomIdentity() {
        return 1 + random.nextLong(Long.MAX_VALUE - 1);
    }
}
