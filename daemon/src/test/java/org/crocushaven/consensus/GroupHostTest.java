package org.crocushaven.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
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
    private static final Set<ResultCode> CODES_OF_LOST_LEADERS =
            EnumSet.of(
                    ResultCode.NOT_LEADER,
                    ResultCode.NO_QUORUM,
                    ResultCode.PROPOSAL_OUTCOME_UNKNOWN);

    private final MemoryNetwork network = new MemoryNetwork();
    private final Map<String, GroupHost> hosts = new HashMap<>();
    private final Map<String, RecordingMachine> machines = new HashMap<>();

    @TempDir private Path folder;
    private int nextCommand;

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
            final List<String> acknowledged = proposeToLeaders(COMPACTION_ENTRIES * 3);
            final String lost = nameOfOtherThan(leader());
            hosts.remove(lost).close();
            startHost(lost, lost + "-new-disk", VOTERS);
            await(() -> leader().foreignVoters().equals(List.of(lost)));
            addVoterAtLeaders(lost);
            final GroupHost leader = leader();
            final String second =
                    nameOf(leader).equals(lost) ? nameOfOtherThan(leader) : nameOf(leader);
            hosts.remove(second).close();
            acknowledged.addAll(proposeToLeaders(1));

            final String third =
                    VOTERS.stream()
                            .filter(name -> !name.equals(lost) && !name.equals(second))
                            .findFirst()
                            .get();
            await(
                    () ->
                            commandsOf(lost).containsAll(acknowledged)
                                    && commandsOf(lost).equals(commandsOf(third)));
            assertEquals(Set.copyOf(acknowledged), Set.copyOf(commandsOf(lost)));
        }

        @Test
        void addsVoterThatLostItsDiskWhileTheLeaderIsCutOffForLongerThanItsLease()
                throws Exception {
            startVoters();
            final GroupHost first = leader();
            final String lost = nameOfOtherThan(first);
            hosts.remove(lost).close();
            startHost(lost, lost + "-new-disk", VOTERS);
            await(() -> first.foreignVoters().equals(List.of(lost)));
            network.isolate(nameOf(first));
            await(() -> !first.holdsLeaderLease());
            network.reconnect(nameOf(first));

            addVoterAtLeaders(lost);
            await(() -> leader().foreignVoters().isEmpty());
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
                        defaults.formation(),
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

    /** Commits new commands; those whose leader was lost are proposed again, to the next one. */
    private List<String> proposeToLeaders(int count) throws Exception {
        final List<String> commands = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            commands.add("to-leaders-" + nextCommand++);
        }
        List<String> missing = commands;
        final long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!missing.isEmpty()) {
            assertTrue(System.nanoTime() < deadline, "commands not committed in time");
            final GroupHost leader = leader();
            final List<CompletableFuture<byte[]>> results =
                    missing.stream()
                            .map(command -> command.getBytes(StandardCharsets.UTF_8))
                            .map(leader::propose)
                            .toList();
            final List<String> unknown = new ArrayList<>();
            for (int position = 0; position < results.size(); position++) {
                if (!isDoneByLeader(results.get(position))) {
                    unknown.add(missing.get(position));
                }
            }
            missing = unknown;
        }
        return commands;
    }

    /** Adds a voter as {@code LeaderClient} does, whichever voter leads. */
    private void addVoterAtLeaders(String name) throws Exception {
        final long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!isDoneByLeader(leader().addVoter(name))) {
            assertTrue(System.nanoTime() < deadline, "voter not added in time");
        }
    }

    /** Returns whether a request is done; false if its leader was lost; throws on a refusal. */
    private static boolean isDoneByLeader(CompletableFuture<?> result) throws Exception {
        try {
            result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            return true;
        } catch (ExecutionException failure) {
            if (CODES_OF_LOST_LEADERS.contains(((ResultException) failure.getCause()).code())) {
                return false;
            }
            throw failure;
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
