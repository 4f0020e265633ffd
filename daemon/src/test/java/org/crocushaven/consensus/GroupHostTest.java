package org.crocushaven.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.agrona.concurrent.SystemNanoClock;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class GroupHostTest {
    private static final long TIMEOUT_SECONDS = 20;
    private static final List<String> VOTERS = List.of("a", "b", "c");
    private static final int COMPACTION_ENTRIES = 200;

    private final MemoryNetwork network = new MemoryNetwork();
    private final Map<String, GroupHost> hosts = new HashMap<>();
    private final Map<String, RecordingMachine> machines = new HashMap<>();

    @TempDir private Path folder;

    @AfterEach
    void stopAll() {
        hosts.values().forEach(GroupHost::close);
    }

    @Nested
    class Committing {
        @Test
        void appliesCommandsInSameOrderOnAllVoters() throws Exception {
            startVoters();
            proposeMany(leader(), 100);

            await(() -> VOTERS.stream().allMatch(name -> commandsOf(name).size() == 100));
            assertEquals(commandsOf("a"), commandsOf("b"));
            assertEquals(commandsOf("a"), commandsOf("c"));
        }

        @Test
        void failsProposalOnFollowerWithNotLeader() {
            startVoters();
            final GroupHost leader = leader();
            final GroupHost follower =
                    hosts.values().stream().filter(host -> host != leader).findFirst().get();

            assertEquals(ResultCode.NOT_LEADER, codeOf(follower.propose(new byte[1])));
        }

        @Test
        void failsProposalOfIsolatedLeaderWithOutcomeUnknown() {
            startVoters();
            final GroupHost leader = leader();
            network.isolate(nameOf(leader));

            assertEquals(ResultCode.PROPOSAL_OUTCOME_UNKNOWN, codeOf(leader.propose(new byte[1])));
            assertFalse(leader.holdsLeaderLease());
        }

        @Test
        void returnsCommandsAfterIndex() throws Exception {
            startVoters();
            final GroupHost leader = leader();
            proposeMany(leader, 10);
            final List<CommittedCommand> commands = leader.commandsAfter(0, 1 << 20).get();

            assertEquals(10, commands.size());
            assertTrue(leader.commandsAfter(commands.get(9).index(), 1 << 20).get().isEmpty());
        }
    }

    @Nested
    class Restarting {
        @Test
        void keepsCommittedCommandsAcrossRestart() throws Exception {
            startVoters();
            proposeMany(leader(), COMPACTION_ENTRIES * 2 + 50);
            stopAll();
            startVoters();
            proposeMany(leader(), 1);

            await(
                    () ->
                            VOTERS.stream()
                                    .allMatch(
                                            name ->
                                                    commandsOf(name).size()
                                                            == COMPACTION_ENTRIES * 2 + 51));
        }

        @Test
        void refusesDataFolderInUse() {
            startVoters();
            final ResultException failure =
                    assertThrows(ResultException.class, () -> startHost("a", "a", VOTERS));

            assertEquals(ResultCode.DATA_FOLDER_IN_USE, failure.code());
        }
    }

    @Nested
    class ChangingVoters {
        @Test
        void toleratesSecondLossAfterReplacingVoterThatLostItsDisk() throws Exception {
            startVoters();
            final GroupHost leader = leader();
            proposeMany(leader, COMPACTION_ENTRIES * 3);
            final String lost = nameOfOtherThan(leader);
            hosts.remove(lost).close();
            startHost(lost, lost + "-new-disk", VOTERS);
            await(() -> leader.foreignVoters().equals(List.of(lost)));
            leader.addVoter(lost).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            hosts.remove(nameOf(leader)).close();
            proposeMany(leader(), 1);

            await(() -> commandsOf(lost).size() == COMPACTION_ENTRIES * 3 + 1);
        }

        @Test
        void addsNewVoterAndRemovesLeader() throws Exception {
            startVoters();
            final GroupHost leader = leader();
            proposeMany(leader, 20);
            startHost("d", "d", VOTERS);
            leader.addVoter("d").get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            leader.removeVoter(nameOf(leader)).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            await(() -> !leader.holdsLeaderLease());
            proposeMany(leader(), 1);

            await(() -> commandsOf("d").size() == 21);
            assertFalse(leader().voters().contains(nameOf(leader)));
        }
    }

    private void startVoters() {
        VOTERS.forEach(name -> startHost(name, name, VOTERS));
    }

    private void startHost(String name, String folderName, List<String> voters) {
        final GroupSettings defaults = GroupSettings.of(0, name, voters);
        final GroupSettings settings =
                new GroupSettings(
                        0,
                        name,
                        voters,
                        defaults.timing(),
                        defaults.batchBytes(),
                        1_024,
                        COMPACTION_ENTRIES,
                        10);
        final RecordingMachine machine = new RecordingMachine();
        final GroupRouter router = GroupRouter.create(network.endpoint(name));
        final GroupHost host =
                GroupHost.start(
                        settings,
                        router,
                        folder.resolve(folderName),
                        machine,
                        SystemNanoClock.INSTANCE,
                        name.hashCode());
        hosts.put(name, host);
        machines.put(name, machine);
    }

    private GroupHost leader() {
        await(() -> hosts.values().stream().anyMatch(GroupHost::holdsLeaderLease));
        return hosts.values().stream().filter(GroupHost::holdsLeaderLease).findFirst().get();
    }

    private String nameOf(GroupHost host) {
        return hosts.entrySet().stream()
                .filter(entry -> entry.getValue() == host)
                .map(Map.Entry::getKey)
                .findFirst()
                .get();
    }

    private String nameOfOtherThan(GroupHost host) {
        return hosts.keySet().stream().filter(name -> hosts.get(name) != host).findFirst().get();
    }

    private List<String> commandsOf(String name) {
        return machines.get(name).commands();
    }

    private static void proposeMany(GroupHost host, int count) throws Exception {
        final List<CompletableFuture<byte[]>> results = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            final byte[] command = ("command-" + number).getBytes(StandardCharsets.UTF_8);
            results.add(host.propose(command));
        }
        for (CompletableFuture<byte[]> result : results) {
            result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
    }

    private static ResultCode codeOf(CompletableFuture<?> result) {
        final ExecutionException failure =
                assertThrows(
                        ExecutionException.class,
                        () -> result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        return ((ResultException) failure.getCause()).code();
    }

    private static void await(BooleanSupplier condition) {
        final long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadline, "condition not reached in time");
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
        }
    }
}
