package org.crocushaven.consensus;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.crocushaven.fuzz.FaultCounts;
import org.crocushaven.fuzz.FuzzSettings;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Takes voters away for good, one after the other, as soon as the successor of the last one has had
 * the time that it may need; what was acknowledged must be kept, and the group must go on.
 */
@Tag("fuzz")
class VoterReplacementFuzzTest {
    private static final int CASES = 60;

    // Guards against: a lost voter was replaced so late that the next permitted loss ended the
    // group.
    @Test
    void groupBearsOneLossAfterTheOther() {
        final FaultCounts<ReplicaFault> counts = FaultCounts.of(ReplicaFault.class);
        try {
            FuzzSettings.forEachCase(
                    "voter-replacement",
                    CASES,
                    seed -> new Case(new SplittableRandom(seed), counts).run());
        } finally {
            counts.print("voter-replacement");
        }
    }

    /** One series of losses, determined by its seed. */
    private static final class Case {
        private static final List<String> VOTERS = List.of("v0", "v1", "v2");
        private static final int LOSSES = 8;
        private static final long STEP_MILLIS = 100;
        private static final long MAINTENANCE_MILLIS = 200;
        private static final long JOIN_MILLIS = 1_000;
        private static final long SUCCESSOR_MILLIS = 1_000;
        private static final long LEAVE_MILLIS = 4_000;
        private static final long CUT_MILLIS = 700;

        /** Time after its start for which the predecessor of a new instance counts as lost. */
        private static final long CATCH_UP_MILLIS = 4_000;

        /** Time after the last cut within which another loss may not come. */
        private static final long CALM_MILLIS = 3_000;

        private static final long RECOVERY_MILLIS = 12_000;

        private final SplittableRandom random;
        private final SimulatedCluster cluster;
        private final Map<String, CompletableFuture<Void>> changes = new HashMap<>();
        private int nextInstance = VOTERS.size();
        private int nextCommand;
        private long passedMillis;

        private Case(SplittableRandom random, FaultCounts<ReplicaFault> counts) {
            this.random = random;
            this.cluster =
                    new SimulatedCluster(
                            VOTERS,
                            VOTERS,
                            FormationRule.MAJORITY,
                            ReplicaTiming.FAST_FAILOVER,
                            random.split(),
                            counts);
        }

        private void run() {
            if (random.nextInt(4) == 0) {
                disturbAndPass(loseAtFirstStart());
            } else {
                pass(3_000);
            }
            cluster.setFaultChance(random.nextInt(3) * 0.01);
            for (int loss = 0; loss < LOSSES; loss++) {
                requireAcknowledgement("before loss " + loss);
                final long mayLoseAgain = random.nextBoolean() ? removePlanned() : lose();
                disturbAndPass(mayLoseAgain);
            }
            requireAcknowledgement("at the end");
            cluster.setFaultChance(0);
            pass(3_000);
            cluster.oracle().checkFinalSequence(cluster.leaders().get(0).commands());
            cluster.oracle().verify();
        }

        /** Starts the successor first; returns when the next loss may come. */
        private long removePlanned() {
            final long started = startSuccessor();
            pass(random.nextLong(3 * SUCCESSOR_MILLIS));
            final SimulatedReplica victim = anyVoter();
            leave(victim);
            victim.crash();
            return started + CATCH_UP_MILLIS;
        }

        /** Gives the vote back as an instance does that stops. */
        private void leave(SimulatedReplica victim) {
            final List<String> voters = victim.core().configuration().names();
            if (!victim.maintenance().hasSpare(victim.name(), voters)) {
                return;
            }
            final long start = passedMillis;
            cluster.replicas().stream()
                    .filter(SimulatedReplica::isUp)
                    .forEach(other -> other.maintenance().stopping(victim.name()));
            while (passedMillis - start < LEAVE_MILLIS && !isRemovalCommitted(victim)) {
                pass(STEP_MILLIS);
            }
        }

        private boolean isRemovalCommitted(SimulatedReplica victim) {
            return cluster.replicas().stream()
                    .filter(SimulatedReplica::isUp)
                    .map(SimulatedReplica::core)
                    .max(Comparator.comparingLong(ReplicaCore::commitIndex))
                    .map(core -> core.configurationAt(core.commitIndex()).names())
                    .filter(voters -> !voters.contains(victim.name()))
                    .isPresent();
        }

        /** Loses a first voter before or just after the group has its first leader. */
        private long loseAtFirstStart() {
            pass(random.nextLong(1, 2_000));
            return lose();
        }

        /** Starts the successor after the loss; returns when the next loss may come. */
        private long lose() {
            anyVoter().crash();
            pass(SUCCESSOR_MILLIS);
            return startSuccessor() + CATCH_UP_MILLIS;
        }

        private long startSuccessor() {
            cluster.startSpare("v" + nextInstance++);
            return passedMillis;
        }

        /** Cuts leaders off for a moment, so that others are elected. */
        private void disturbAndPass(long mayLoseAgain) {
            long until = mayLoseAgain;
            for (int cuts = random.nextInt(3); cuts > 0; cuts--) {
                pass(random.nextLong(300, 1_500));
                cluster.leaders().forEach(leader -> cluster.isolate(leader.name()));
                pass(CUT_MILLIS);
                cluster.healLinks();
                until = Math.max(until, passedMillis + CALM_MILLIS);
            }
            pass(until - passedMillis);
        }

        /** Proposes until a command is acknowledged; it must be within the time of recovery. */
        private void requireAcknowledgement(String when) {
            final long start = passedMillis;
            final int before = cluster.oracle().acknowledged();
            while (cluster.oracle().acknowledged() == before) {
                if (passedMillis - start > RECOVERY_MILLIS) {
                    throw new AssertionError("nothing is acknowledged " + when);
                }
                cluster.leaders().forEach(leader -> leader.propose("command-" + nextCommand++));
                pass(STEP_MILLIS);
            }
        }

        private SimulatedReplica anyVoter() {
            final List<SimulatedReplica> leaders = cluster.leaders();
            if (!leaders.isEmpty() && random.nextBoolean()) {
                return leaders.get(0);
            }
            final List<SimulatedReplica> voters =
                    cluster.replicas().stream()
                            .filter(SimulatedReplica::isUp)
                            .filter(this::isVoter)
                            .toList();
            return voters.get(random.nextInt(voters.size()));
        }

        private boolean isVoter(SimulatedReplica replica) {
            return replica.core().configuration().includes(replica.name(), replica.identity());
        }

        /** Lets time pass as instances do: they hear joins and the leader maintains the voters. */
        private void pass(long millis) {
            final long end = passedMillis + millis;
            while (passedMillis < end) {
                final long step = Math.min(STEP_MILLIS, end - passedMillis);
                cluster.run(step);
                passedMillis += step;
                if (passedMillis % JOIN_MILLIS < step) {
                    joinSpares();
                }
                if (passedMillis % MAINTENANCE_MILLIS < step) {
                    maintainVoters();
                }
            }
        }

        private void joinSpares() {
            for (final SimulatedReplica spare : cluster.replicas()) {
                if (spare.isUp() && !isVoter(spare)) {
                    cluster.replicas().stream()
                            .filter(SimulatedReplica::isUp)
                            .filter(other -> cluster.reaches(spare.name(), other.name()))
                            .filter(other -> !other.name().equals(spare.name()))
                            .forEach(other -> other.hear(spare.name(), cluster.nowNanos()));
                }
            }
        }

        private void maintainVoters() {
            cluster.replicas().stream()
                    .filter(SimulatedReplica::isUp)
                    .forEach(replica -> replica.observe(cluster.nowNanos()));
            cluster.leaders().stream()
                    .filter(leader -> !isChanging(leader))
                    .forEach(this::takeNextStep);
        }

        private boolean isChanging(SimulatedReplica leader) {
            return changes.containsKey(leader.name()) && !changes.get(leader.name()).isDone();
        }

        private void takeNextStep(SimulatedReplica leader) {
            leader.maintenance()
                    .next(
                            leader.name(),
                            leader.core().configuration().names(),
                            leader.core().foreignVoters())
                    .ifPresent(step -> changes.put(leader.name(), take(leader, step)));
        }

        private static CompletableFuture<Void> take(
                SimulatedReplica leader, VoterMaintenance.Step step) {
            return step.add()
                    ? leader.addVoter(step.instance())
                    : leader.removeVoter(step.instance());
        }
    }
}
