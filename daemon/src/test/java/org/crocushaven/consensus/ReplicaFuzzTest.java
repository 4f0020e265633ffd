package org.crocushaven.consensus;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.crocushaven.fuzz.FaultCounts;
import org.crocushaven.fuzz.FuzzSettings;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Runs replicas under random faults; {@link ClusterOracle} checks the safety properties. */
@Tag("fuzz")
class ReplicaFuzzTest {
    private static final int CASES = 150;

    @Test
    void keepsSafetyPropertiesUnderRandomFaults() {
        run("replicas", FormationRule.ALL_FIRST_VOTERS);
    }

    // Guards against: a majority that forms the group elects leaders that miss what was committed.
    @Test
    void keepsSafetyPropertiesWhereMajorityFormsTheGroup() {
        run("replicas-majority", FormationRule.MAJORITY);
    }

    private static void run(String name, FormationRule formation) {
        final FaultCounts<ReplicaFault> counts = FaultCounts.of(ReplicaFault.class);
        try {
            FuzzSettings.forEachCase(
                    name,
                    CASES,
                    seed -> new Case(new SplittableRandom(seed), formation, counts).run());
        } finally {
            counts.print(name);
        }
        if (!FuzzSettings.isSingleCase()) {
            counts.assertAllOccurred();
        }
    }

    /** One random schedule of faults, determined by its seed. */
    private static final class Case {
        private static final List<String> NAMES = List.of("a", "b", "c", "d", "e");
        private static final List<String> VOTERS = List.of("a", "b", "c");
        private static final int STEPS = 60;
        private static final long RECOVERY_MILLIS = 60_000;

        private final SplittableRandom random;
        private final FaultCounts<ReplicaFault> counts;
        private final SimulatedCluster cluster;
        private Optional<CompletableFuture<Void>> change = Optional.empty();
        private int nextCommand;
        private int quietSteps;
        private int lossesWhileUnbound;

        private Case(
                SplittableRandom random,
                FormationRule formation,
                FaultCounts<ReplicaFault> counts) {
            this.random = random;
            this.counts = counts;
            this.cluster =
                    new SimulatedCluster(
                            NAMES,
                            VOTERS,
                            formation,
                            ReplicaTiming.DEFAULT,
                            random.split(),
                            counts);
        }

        private void run() {
            cluster.run(random.nextLong(3_000));
            cluster.setFaultChance(random.nextInt(3) * 0.02);
            for (int step = 0; step < STEPS; step++) {
                propose(random.nextInt(quietSteps > 0 ? 1 : 12));
                quietSteps = quietSteps > 0 ? quietSteps - 1 : random.nextInt(8) == 0 ? 5 : 0;
                performRandomAction();
                cluster.run(random.nextInt(4) == 0 ? 1_500 : random.nextLong(1, 300));
            }
            recover();
        }

        private void performRandomAction() {
            switch (random.nextInt(18)) {
                case 0, 1 -> crash(anyReplica());
                case 2, 3 -> cluster.leaders().forEach(this::crash);
                case 4, 16, 17 -> anyReplica().setCrashChance(0.1);
                case 5 -> cutOneWay();
                case 6 -> isolateLeader();
                case 7 -> freeze(anyReplica());
                case 8 -> cluster.leaders().forEach(this::freeze);
                case 9 -> loseDisk(anyReplica());
                case 10, 15 -> changeVoters();
                case 11 -> cluster.healLinks();
                case 12, 13 -> restartAll();
                default -> replaceForeignVoter();
            }
        }

        private void propose(int count) {
            for (SimulatedReplica leader : cluster.leaders()) {
                for (int number = 0; number < count; number++) {
                    leader.propose("command-" + nextCommand++);
                }
            }
        }

        private void crash(SimulatedReplica replica) {
            if (replica.isUp()) {
                replica.crash();
            }
        }

        private void freeze(SimulatedReplica replica) {
            counts.count(ReplicaFault.FROZEN);
            final long millis = random.nextLong(100, 3_000);
            replica.freeze(cluster.nowNanos() + TimeUnit.MILLISECONDS.toNanos(millis));
        }

        private void cutOneWay() {
            counts.count(ReplicaFault.ONE_WAY_CUT);
            final List<SimulatedReplica> leaders = cluster.leaders();
            final boolean fromLeader = !leaders.isEmpty() && random.nextBoolean();
            final SimulatedReplica from = fromLeader ? leaders.get(0) : anyReplica();
            cluster.cut(from.name(), anyReplica().name());
        }

        private void isolateLeader() {
            for (SimulatedReplica leader : cluster.leaders()) {
                counts.count(ReplicaFault.ISOLATED);
                cluster.isolate(leader.name());
            }
        }

        /**
         * Replaces the disk of a replica by an empty one and returns whether it did. This requires
         * that no voter change is pending and that, in the configuration of every replica, no voter
         * has lost its disk and the voters that keep theirs are a quorum.
         */
        private boolean loseDisk(SimulatedReplica replica) {
            if (change.isPresent() || hasLostDiskWhileUnbound()) {
                return false;
            }
            for (SimulatedReplica other : cluster.replicas()) {
                final VoterConfiguration voters = other.core().configuration();
                final long intact = voters.voters().stream().filter(this::isIntact).count();
                final boolean votes = voters.includes(replica.name(), replica.identity());
                if (votes && intact - 1 < voters.quorum() || intact < voters.voters().size()) {
                    return false;
                }
            }
            lossesWhileUnbound += anyUnbound() ? 1 : 0;
            crash(replica);
            replica.loseDisk();
            cluster.restart(replica);
            return true;
        }

        /**
         * Returns whether a disk was already lost while some identities are unbound. Until they are
         * bound, no configuration shows a lost disk, so the losses are counted here.
         */
        private boolean hasLostDiskWhileUnbound() {
            return anyUnbound() && lossesWhileUnbound > 0;
        }

        private boolean anyUnbound() {
            return cluster.replicas().stream()
                    .anyMatch(replica -> !replica.core().configuration().isBound());
        }

        private boolean isIntact(Voter voter) {
            return voter.identity() == Voter.UNBOUND
                    || cluster.replica(voter.name()).identity() == voter.identity();
        }

        private void changeVoters() {
            final List<SimulatedReplica> leaders = cluster.leaders();
            if (change.isPresent() || leaders.isEmpty()) {
                return;
            }
            final SimulatedReplica leader = leaders.get(0);
            final String name = anyReplica().name();
            if (!leader.core().configuration().names().contains(name)) {
                trackChange(leader.addVoter(name), ReplicaFault.VOTER_ADDED);
            } else if (leader.core().configuration().voters().size() > VOTERS.size()) {
                trackChange(leader.removeVoter(name), ReplicaFault.VOTER_REMOVED);
            }
        }

        private void replaceForeignVoter() {
            for (SimulatedReplica leader : cluster.leaders()) {
                final List<String> foreign = leader.core().foreignVoters();
                if (change.isEmpty() && !foreign.isEmpty()) {
                    final CompletableFuture<Void> result = leader.addVoter(foreign.get(0));
                    trackChange(result, ReplicaFault.VOTER_REPLACED);
                    loseAnotherDiskAfterRepair(result, foreign.get(0));
                }
            }
        }

        private void loseAnotherDiskAfterRepair(CompletableFuture<Void> result, String repaired) {
            for (int wait = 0; wait < 100 && !result.isDone(); wait++) {
                propose(1);
                cluster.run(10);
            }
            if (!result.isDone() || result.isCompletedExceptionally() || random.nextInt(3) == 0) {
                return;
            }
            change = Optional.empty();
            final SimulatedReplica other = anyReplica();
            if (!other.name().equals(repaired) && loseDisk(other)) {
                counts.count(ReplicaFault.SECOND_LOSS_AFTER_REPAIR);
            }
        }

        private void trackChange(CompletableFuture<Void> result, ReplicaFault fault) {
            change = Optional.of(result);
            result.whenComplete(
                    (done, failure) -> {
                        change = Optional.empty();
                        if (failure == null) {
                            counts.count(fault);
                        }
                    });
        }

        private void restartAll() {
            for (SimulatedReplica replica : cluster.replicas()) {
                if (!replica.isUp()) {
                    cluster.restart(replica);
                    change = Optional.empty();
                }
            }
        }

        /** Ends all faults and checks that the group commits again and that all voters catch up. */
        private void recover() {
            cluster.setFaultChance(0);
            cluster.healLinks();
            for (SimulatedReplica replica : cluster.replicas()) {
                replica.setCrashChance(0);
                replica.freeze(0);
            }
            restartAll();
            change = Optional.empty();
            for (long waited = 0; waited < RECOVERY_MILLIS; waited += 500) {
                cluster.run(500);
                propose(1);
                replaceForeignVoter();
                if (waited > 10_000 && isRecovered()) {
                    final SimulatedReplica leader = cluster.leaders().get(0);
                    cluster.oracle().checkFinalSequence(leader.commands());
                    cluster.oracle().verify();
                    return;
                }
            }
            throw new AssertionError("not recovered after " + RECOVERY_MILLIS + " ms");
        }

        private boolean isRecovered() {
            final List<SimulatedReplica> leaders = cluster.leaders();
            if (leaders.size() != 1 || !leaders.get(0).holdsLease(cluster.nowNanos())) {
                return false;
            }
            final long behind =
                    leaders.get(0).core().configuration().voters().stream()
                            .map(voter -> cluster.replica(voter.name()))
                            .filter(
                                    voter ->
                                            voter.appliedIndex() + 20
                                                    < leaders.get(0).appliedIndex())
                            .count();
            return behind == 0;
        }

        private SimulatedReplica anyReplica() {
            return cluster.replicas().get(random.nextInt(NAMES.size()));
        }
    }
}
