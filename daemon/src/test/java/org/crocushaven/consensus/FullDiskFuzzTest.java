package org.crocushaven.consensus;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.crocushaven.fuzz.FaultCounts;
import org.crocushaven.fuzz.FuzzSettings;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Fills the disks of replicas in turn, never two at once; once all have room, a command must be
 * acknowledged soon, and what was acknowledged must be kept.
 */
@Tag("fuzz")
class FullDiskFuzzTest {
    private static final int CASES = 100;
    private static final List<ReplicaFault> EXPECTED =
            List.of(
                    ReplicaFault.CRASHED,
                    ReplicaFault.LEADER_LOST_BEFORE_COMMIT,
                    ReplicaFault.COMPACTED,
                    ReplicaFault.SNAPSHOT_INSTALLED,
                    ReplicaFault.VOTER_ADDED,
                    ReplicaFault.VOTER_REMOVED);

    @Nested
    class InTurn {
        // Guards against: after disks were full in turn, commands were refused or unanswered.
        @Test
        void commandsAreAcknowledgedOnceAllHaveRoom() {
            run("full-disks", false);
        }

        // Guards against: a voter change beside a full disk stopped the group.
        @Test
        void commandsAreAcknowledgedAfterVoterChangesBesideFullDisks() {
            run("full-disks-voter-changes", true);
        }
    }

    private static void run(String name, boolean changesVoters) {
        final FaultCounts<ReplicaFault> counts = FaultCounts.of(ReplicaFault.class);
        try {
            FuzzSettings.forEachCase(
                    name,
                    CASES,
                    seed -> new Case(new SplittableRandom(seed), changesVoters, counts).run());
        } finally {
            counts.print(name);
        }
        if (!FuzzSettings.isSingleCase()) {
            EXPECTED.stream()
                    .filter(fault -> changesVoters || !fault.name().startsWith("VOTER_"))
                    .forEach(fault -> assertTrue(counts.get(fault) > 0, fault + " never occurred"));
        }
    }

    /** One series of full disks, determined by its seed. */
    private static final class Case {
        private static final List<String> VOTERS = List.of("a", "b", "c");
        private static final List<String> NAMES = List.of("a", "b", "c", "d", "e");
        private static final int ROUNDS = 10;
        private static final int MOST_STEPS_WITH_ROOM = 6;
        private static final long STEP_MILLIS = 50;
        private static final long START_MILLIS = 3_000;
        private static final long SHORTEST_FULL_MILLIS = 300;
        private static final long LONGEST_FULL_MILLIS = 4_000;
        private static final long LONGEST_BETWEEN_MILLIS = 1_500;
        private static final long REOPEN_MILLIS = 900;
        private static final long ACKNOWLEDGEMENT_MILLIS = 4_000;

        private final SplittableRandom random;
        private final boolean changesVoters;
        private final FaultCounts<ReplicaFault> counts;
        private final SimulatedCluster cluster;
        private final Map<String, Long> failedNanos = new TreeMap<>();
        private int nextCommand;

        private Case(
                SplittableRandom random, boolean changesVoters, FaultCounts<ReplicaFault> counts) {
            this.random = random;
            this.changesVoters = changesVoters;
            this.counts = counts;
            this.cluster =
                    new SimulatedCluster(
                            changesVoters ? NAMES : VOTERS,
                            VOTERS,
                            FormationRule.MAJORITY,
                            ReplicaTiming.FAST_FAILOVER,
                            random.split(),
                            counts);
        }

        private void run() {
            pass(START_MILLIS);
            for (int round = 0; round < ROUNDS; round++) {
                final SimulatedReplica victim = choose();
                victim.fillDiskAfter(random.nextInt(MOST_STEPS_WITH_ROOM));
                pass(random.nextLong(SHORTEST_FULL_MILLIS, LONGEST_FULL_MILLIS));
                victim.makeRoom();
                pass(random.nextLong(LONGEST_BETWEEN_MILLIS));
            }
            final int before = cluster.oracle().acknowledged();
            pass(ACKNOWLEDGEMENT_MILLIS);
            assertTrue(cluster.oracle().acknowledged() > before, "no command is acknowledged");
            cluster.leaders().stream()
                    .filter(leader -> leader.holdsLease(cluster.nowNanos()))
                    .forEach(leader -> cluster.oracle().checkFinalSequence(leader.commands()));
            cluster.oracle().verify();
        }

        private SimulatedReplica choose() {
            final List<SimulatedReplica> leaders = cluster.leaders();
            final List<SimulatedReplica> replicas = cluster.replicas();
            return random.nextBoolean() && !leaders.isEmpty()
                    ? leaders.get(0)
                    : replicas.get(random.nextInt(replicas.size()));
        }

        private void pass(long millis) {
            for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
                cluster.leaders().forEach(leader -> leader.propose("command-" + nextCommand++));
                if (changesVoters && random.nextInt(10) == 0) {
                    cluster.leaders().forEach(this::changeVoters);
                }
                cluster.run(STEP_MILLIS);
                cluster.replicas().forEach(this::reopenIfFailed);
            }
        }

        /** Does what the supervisor of a replica does. */
        private void reopenIfFailed(SimulatedReplica replica) {
            if (replica.isUp()) {
                return;
            }
            final long sinceNanos =
                    failedNanos.computeIfAbsent(replica.name(), name -> cluster.nowNanos());
            if (cluster.nowNanos() - sinceNanos >= TimeUnit.MILLISECONDS.toNanos(REOPEN_MILLIS)) {
                failedNanos.remove(replica.name());
                cluster.restart(replica);
            }
        }

        private void changeVoters(SimulatedReplica leader) {
            final List<String> voters = leader.core().configuration().names().stream().toList();
            final String name = NAMES.get(random.nextInt(NAMES.size()));
            if (!voters.contains(name) && voters.size() <= VOTERS.size()) {
                count(leader.addVoter(name), ReplicaFault.VOTER_ADDED);
            } else if (voters.contains(name) && voters.size() > VOTERS.size()) {
                count(leader.removeVoter(name), ReplicaFault.VOTER_REMOVED);
            }
        }

        private void count(CompletableFuture<Void> change, ReplicaFault fault) {
            change.thenRun(() -> counts.count(fault));
        }
    }
}
