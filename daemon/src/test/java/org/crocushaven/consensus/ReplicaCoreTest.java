package org.crocushaven.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.crocushaven.result.ResultCode;
import org.crocushaven.storage.EntryKind;
import org.crocushaven.storage.HardState;
import org.crocushaven.storage.LogEntry;
import org.crocushaven.storage.RecoveredState;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ReplicaCoreTest {
    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long IDENTITY = 1;
    private static final int GRANTED = 0;
    private static final byte[] PAYLOAD = {};

    private final List<Envelope> sent = new ArrayList<>();
    private final List<LogEntry> committed = new ArrayList<>();
    private final List<VoterChangeResult> changes = new ArrayList<>();
    private long nowNanos = 5_000 * NANOS_PER_MILLI;

    /** Creates replica a of the voters a, b and c, whose storage identities are 1, 2 and 3. */
    private ReplicaCore replica(long term, LogEntry... entries) {
        final List<Voter> voters = List.of(new Voter("a", 1), new Voter("b", 2), new Voter("c", 3));
        final List<LogEntry> log = new ArrayList<>();
        final byte[] configuration = new VoterConfiguration(voters).encode();
        log.add(new LogEntry(1, 1, EntryKind.CONFIGURATION, configuration));
        log.addAll(List.of(entries));
        return ReplicaCore.create(
                GroupSettings.of(0, "a", List.of("a", "b", "c")),
                IDENTITY,
                new RecoveredState(new HardState(term, ""), Optional.empty(), log),
                new SplittableRandom(1),
                nowNanos);
    }

    private static LogEntry configuration(long index, Voter... voters) {
        final byte[] encoded = new VoterConfiguration(List.of(voters)).encode();
        return new LogEntry(index, 1, EntryKind.CONFIGURATION, encoded);
    }

    private static LogEntry command(long index, long term) {
        return new LogEntry(index, term, EntryKind.COMMAND, PAYLOAD);
    }

    private void drainOutput(ReplicaCore core) {
        ReplicaOutput output = core.takeOutput(nowNanos);
        while (!output.isEmpty()) {
            sent.addAll(output.messages());
            committed.addAll(output.committed());
            changes.addAll(output.changeResults());
            if (output.awaitsSync()) {
                core.onSynced(nowNanos);
            }
            output = core.takeOutput(nowNanos);
        }
    }

    private void advance(ReplicaCore core, long millis) {
        nowNanos += millis * NANOS_PER_MILLI;
        core.tick(nowNanos);
        drainOutput(core);
    }

    private void elect(ReplicaCore core) {
        final long term = core.term() + 1;
        advance(core, 1_300);
        core.receive("b", new VoteResponse(0, term - 1, 2, term, true, GRANTED), nowNanos);
        drainOutput(core);
        core.receive("b", new VoteResponse(0, term, 2, term, false, GRANTED), nowNanos);
        drainOutput(core);
        assertTrue(core.isLeader());
    }

    private AppendRequest appendRequest(long term, long previousIndex, LogEntry... entries) {
        return new AppendRequest(0, term, 2, previousIndex, 1, 0, nowNanos, List.of(entries));
    }

    private AppendResponse acknowledgement(ReplicaCore core, long identity, long matchIndex) {
        return new AppendResponse(0, core.term(), identity, true, matchIndex, nowNanos);
    }

    private <T> List<T> sentOf(Class<T> type) {
        return sent.stream()
                .map(Envelope::message)
                .filter(type::isInstance)
                .map(type::cast)
                .toList();
    }

    @Nested
    class Electing {
        @Test
        void doesNotIncreaseTermInPreVote() {
            final ReplicaCore core = replica(4);
            for (int round = 0; round < 10; round++) {
                advance(core, 1_300);
            }

            assertEquals(4, core.term());
            assertTrue(sentOf(VoteRequest.class).stream().allMatch(VoteRequest::preVote));
        }

        @Test
        void requestsVotesOnlyAfterOwnVoteIsSynced() {
            final ReplicaCore core = replica(4);
            advance(core, 1_300);
            sent.clear();
            core.receive("b", new VoteResponse(0, 4, 2, 5, true, GRANTED), nowNanos);
            final ReplicaOutput output = core.takeOutput(nowNanos);

            assertTrue(output.messages().isEmpty());
            assertEquals(5, output.hardState().orElseThrow().term());
            assertTrue(output.awaitsSync());
        }

        @Test
        void grantsVoteOnlyAfterVoteIsSynced() {
            final ReplicaCore core = replica(4);
            nowNanos += 700 * NANOS_PER_MILLI;
            core.receive("b", new VoteRequest(0, 5, 2, false, 9, 4), nowNanos);
            final ReplicaOutput output = core.takeOutput(nowNanos);

            assertTrue(output.messages().isEmpty());
            core.onSynced(nowNanos);
            final VoteResponse response =
                    assertInstanceOf(
                            VoteResponse.class,
                            core.takeOutput(nowNanos).messages().get(0).message());
            assertEquals(GRANTED, response.code());
        }

        @Test
        void refusesVotesWithinElectionTimeoutAfterStartOrHeartbeat() {
            final ReplicaCore core = replica(4);
            core.receive("c", new VoteRequest(0, 5, 3, false, 9, 4), nowNanos);
            nowNanos += 700 * NANOS_PER_MILLI;
            core.receive("b", appendRequest(4, 1), nowNanos);
            nowNanos += 590 * NANOS_PER_MILLI;
            core.receive("c", new VoteRequest(0, 5, 3, false, 9, 4), nowNanos);
            drainOutput(core);

            assertTrue(
                    sentOf(VoteResponse.class).stream()
                            .allMatch(response -> response.code() != GRANTED));
            assertEquals(4, core.term());
        }

        @Test
        void startsElectionWhileOwnRemovalIsUncommitted() {
            final VoterConfiguration without =
                    new VoterConfiguration(List.of(new Voter("b", 2), new Voter("c", 3)));
            final LogEntry removal = new LogEntry(2, 1, EntryKind.CONFIGURATION, without.encode());
            final ReplicaCore core = replica(4, removal);
            advance(core, 1_300);

            assertEquals(2, sentOf(VoteRequest.class).size());
        }

        @Test
        void startsElectionWhenOwnAdditionAndRemovalAreUncommitted() {
            final Voter own = new Voter("a", IDENTITY);
            final Voter other = new Voter("b", 2);
            final ReplicaCore core =
                    ReplicaCore.create(
                            GroupSettings.of(0, "a", List.of("b")),
                            IDENTITY,
                            new RecoveredState(
                                    new HardState(4, ""),
                                    Optional.empty(),
                                    List.of(
                                            configuration(1, other),
                                            configuration(2, other, own),
                                            configuration(3, other))),
                            new SplittableRandom(1),
                            nowNanos);
            advance(core, 1_300);

            assertEquals(1, sentOf(VoteRequest.class).size());
        }

        @Test
        void answersForeignReplicaWithoutLogWithForeignIncarnation() {
            final ReplicaCore core = replica(4);
            nowNanos += 700 * NANOS_PER_MILLI;
            core.receive("c", new VoteRequest(0, 5, 99, true, 0, 0), nowNanos);
            drainOutput(core);

            assertEquals(
                    ResultCode.FOREIGN_INCARNATION.number(),
                    sentOf(VoteResponse.class).get(0).code());
        }

        @Test
        void ignoresVotesOfForeignReplicas() {
            final ReplicaCore core = replica(4);
            advance(core, 1_300);
            core.receive("b", new VoteResponse(0, 4, 98, 5, true, GRANTED), nowNanos);
            core.receive("c", new VoteResponse(0, 4, 99, 5, true, GRANTED), nowNanos);
            drainOutput(core);

            assertEquals(4, core.term());
        }
    }

    @Nested
    class Committing {
        @Test
        void commitsEntryOfEarlierTermOnlyWithEntryOfCurrentTerm() {
            final ReplicaCore core = replica(2, command(2, 2));
            elect(core);
            core.receive("b", acknowledgement(core, 2, 2), nowNanos);
            drainOutput(core);
            assertTrue(committed.isEmpty());

            core.receive("b", acknowledgement(core, 2, 3), nowNanos);
            drainOutput(core);
            assertEquals(3, committed.size());
        }

        @Test
        void countsOwnEntryForQuorumOnlyAfterSync() {
            final ReplicaCore core = replica(1);
            elect(core);
            core.receive("b", acknowledgement(core, 2, 2), nowNanos);
            drainOutput(core);
            final long index = core.propose(PAYLOAD).orElseThrow();
            core.receive("b", acknowledgement(core, 2, index), nowNanos);

            assertEquals(index - 1, core.commitIndex());
            drainOutput(core);
            assertEquals(index, core.commitIndex());
        }

        @Test
        void ignoresAcknowledgementsOfForeignReplicas() {
            final ReplicaCore core = replica(1);
            elect(core);
            core.receive("b", acknowledgement(core, 98, 2), nowNanos);
            drainOutput(core);

            assertEquals(0, core.commitIndex());
            assertEquals(List.of("b"), core.foreignVoters());
            assertFalse(core.leaseEndNanos(nowNanos).isPresent());
        }
    }

    @Nested
    class ChangingVoters {
        private static final long CHANGE_ID = 7;

        @Test
        void newLeaderDoesNotRefuseRemovalBeforeItsTermBeganToCommit() {
            final ReplicaCore core = replica(1);
            elect(core);
            core.removeVoter(CHANGE_ID, "c", nowNanos);
            drainOutput(core);
            assertEquals(List.of(), changes);
            assertEquals(3, core.configuration().voters().size(), "nothing proposed yet");

            core.receive("b", acknowledgement(core, 2, 2), nowNanos);
            drainOutput(core);
            assertEquals(List.of("a", "b"), core.configuration().names());
            core.receive("b", acknowledgement(core, 2, 3), nowNanos);
            drainOutput(core);
            assertEquals(List.of(new VoterChangeResult(CHANGE_ID, Optional.empty())), changes);
        }

        @Test
        void newLeaderDoesNotRefuseAdditionBeforeItsTermBeganToCommit() {
            final ReplicaCore core = replica(1);
            elect(core);
            core.receive("c", acknowledgement(core, 99, 0), nowNanos);
            core.addVoter(CHANGE_ID, "c", nowNanos);
            drainOutput(core);
            assertEquals(List.of("c"), core.foreignVoters());
            assertEquals(List.of(), changes);

            core.receive("b", acknowledgement(core, 2, 2), nowNanos);
            core.receive("c", acknowledgement(core, 99, 2), nowNanos);
            drainOutput(core);
            core.receive("b", acknowledgement(core, 2, 3), nowNanos);
            drainOutput(core);
            core.receive("b", acknowledgement(core, 2, 4), nowNanos);
            core.receive("c", acknowledgement(core, 99, 4), nowNanos);
            drainOutput(core);
            assertEquals(List.of(new VoterChangeResult(CHANGE_ID, Optional.empty())), changes);
            assertEquals(List.of(), core.foreignVoters());
        }

        @Test
        void changeThatWaitsForItsTermFailsAsNotRunWhenTheLeaderIsLost() {
            final ReplicaCore core = replica(1);
            elect(core);
            core.removeVoter(CHANGE_ID, "c", nowNanos);
            advance(core, 501);

            assertFalse(core.isLeader());
            assertEquals(ResultCode.NOT_LEADER, codeOf(changes.get(0)));
            assertEquals(3, core.configuration().voters().size());
        }

        @Test
        void refusesSecondChangeWhileTheFirstWaitsOrRuns() {
            final ReplicaCore core = replica(1);
            elect(core);
            core.removeVoter(CHANGE_ID, "c", nowNanos);
            core.removeVoter(CHANGE_ID + 1, "b", nowNanos);
            drainOutput(core);
            assertEquals(ResultCode.VOTER_CHANGE_IN_PROGRESS, codeOf(changes.get(0)));

            core.receive("b", acknowledgement(core, 2, 2), nowNanos);
            core.addVoter(CHANGE_ID + 2, "d", nowNanos);
            drainOutput(core);
            assertEquals(ResultCode.VOTER_CHANGE_IN_PROGRESS, codeOf(changes.get(1)));
        }

        @Test
        void repeatedRemovalIsNotRefusedAsAnotherChange() {
            final ReplicaCore core = replica(1);
            elect(core);
            core.receive("b", acknowledgement(core, 2, 2), nowNanos);
            core.removeVoter(CHANGE_ID, "c", nowNanos);
            drainOutput(core);
            core.removeVoter(CHANGE_ID + 1, "c", nowNanos);
            core.addVoter(CHANGE_ID + 2, "c", nowNanos);
            drainOutput(core);
            assertEquals(1, changes.size());
            assertEquals(CHANGE_ID + 2, changes.get(0).changeId());
            assertEquals(ResultCode.VOTER_CHANGE_IN_PROGRESS, codeOf(changes.get(0)));

            core.receive("b", acknowledgement(core, 2, 3), nowNanos);
            drainOutput(core);
            assertEquals(
                    List.of(
                            new VoterChangeResult(CHANGE_ID, Optional.empty()),
                            new VoterChangeResult(CHANGE_ID + 1, Optional.empty())),
                    changes.subList(1, 3));
        }

        @Test
        void repeatedAdditionOfSilentVoterEndsWithTheFirst() {
            final ReplicaCore core = replica(1);
            elect(core);
            core.receive("b", acknowledgement(core, 2, 2), nowNanos);
            core.addVoter(CHANGE_ID, "d", nowNanos);
            core.addVoter(CHANGE_ID + 1, "d", nowNanos);
            drainOutput(core);
            assertEquals(List.of(), changes);
            nowNanos += 10_000 * NANOS_PER_MILLI;
            core.receive("b", acknowledgement(core, 2, 2), nowNanos);
            drainOutput(core);

            assertEquals(
                    List.of(CHANGE_ID, CHANGE_ID + 1),
                    changes.stream().map(VoterChangeResult::changeId).toList());
            changes.forEach(change -> assertEquals(ResultCode.PEER_TIMEOUT, codeOf(change)));
        }

        private static ResultCode codeOf(VoterChangeResult change) {
            return change.failure().orElseThrow().code();
        }
    }

    @Nested
    class Following {
        @Test
        void acknowledgesEntriesOnlyAfterSync() {
            final ReplicaCore core = replica(1);
            core.receive("b", appendRequest(1, 1, command(2, 1)), nowNanos);
            final ReplicaOutput output = core.takeOutput(nowNanos);

            assertTrue(output.messages().isEmpty());
            assertEquals(1, output.entries().size());
            core.onSynced(nowNanos);
            assertEquals(1, core.takeOutput(nowNanos).messages().size());
        }

        @Test
        void dropsAcknowledgementOfReplacedEntries() {
            final ReplicaCore core = replica(1);
            core.receive("b", appendRequest(1, 1, command(2, 1)), nowNanos);
            final AppendRequest newer =
                    new AppendRequest(0, 2, 3, 1, 1, 0, nowNanos, List.of(command(2, 2)));
            core.receive("c", newer, nowNanos);
            drainOutput(core);

            assertEquals(List.of("c"), sent.stream().map(Envelope::receiver).toList());
        }

        @Test
        void rejectsInputWhileSyncIsPending() {
            final ReplicaCore core = replica(1);
            core.receive("b", appendRequest(1, 1, command(2, 1)), nowNanos);
            core.takeOutput(nowNanos);

            assertThrows(IllegalStateException.class, () -> core.tick(nowNanos));
        }
    }

    @Nested
    class LeaderLease {
        @Test
        void startsLeaseWhenHeartbeatIsSent() {
            final ReplicaCore core = replica(1);
            elect(core);
            final long sentNanos = nowNanos;
            nowNanos += 400 * NANOS_PER_MILLI;
            core.receive("b", new AppendResponse(0, core.term(), 2, true, 2, sentNanos), nowNanos);
            drainOutput(core);

            assertEquals(
                    sentNanos + 500 * NANOS_PER_MILLI, core.leaseEndNanos(nowNanos).orElseThrow());
        }

        @Test
        void stepsDownWhenNoQuorumAnswersWithinLease() {
            final ReplicaCore core = replica(1);
            elect(core);
            advance(core, 501);

            assertFalse(core.isLeader());
        }

        @Test
        void refusesVotesUntilPromisedLeaseEnds() {
            final ReplicaCore core = replica(1);
            elect(core);
            core.receive("b", acknowledgement(core, 2, 2), nowNanos);
            drainOutput(core);
            assertTrue(core.leaseEndNanos(nowNanos).isPresent());
            core.receive("c", new VoteResponse(0, 9, 3, 9, false, 1), nowNanos);
            sent.clear();
            core.receive("c", new VoteRequest(0, 10, 3, false, 9, 9), nowNanos);
            drainOutput(core);

            assertFalse(core.isLeader());
            assertTrue(sentOf(VoteResponse.class).get(0).code() != GRANTED);
        }
    }
}
