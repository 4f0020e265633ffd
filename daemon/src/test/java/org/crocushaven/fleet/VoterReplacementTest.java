package org.crocushaven.fleet;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class VoterReplacementTest {
    private static final String SPARE = "spare";
    private static final long START_MILLIS = 20_000;
    private static final long POLL_MILLIS = 10;
    private static final long CLOCK_STEP_MILLIS = 2_400_000;

    /** Time after its start for which the predecessor of a new instance counts as lost. */
    private static final long CATCH_UP_MILLIS = 4_000;

    @TempDir private Path folder;
    private ControlFleet fleet;

    @BeforeEach
    void createFleet() {
        fleet = new ControlFleet(folder);
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    private String awaitLeader() {
        final long startNanos = System.nanoTime();
        Optional<String> leader = fleet.leader();
        while (leader.isEmpty()) {
            assertTrue(millisSince(startNanos) < START_MILLIS, "no instance leads");
            pause();
            leader = fleet.leader();
        }
        return leader.get();
    }

    private String anyFollower() {
        final String leader = awaitLeader();
        return ControlFleet.VOTERS.stream()
                .filter(name -> !name.equals(leader))
                .findFirst()
                .orElseThrow();
    }

    /** Returns whether, as all that run know, the spare votes and the lost voter does not. */
    private boolean isReplaced(String lost) {
        final List<String> running =
                ControlFleet.VOTERS.stream().filter(name -> !name.equals(lost)).toList();
        return running.stream()
                .map(fleet::voters)
                .allMatch(voters -> voters.contains(SPARE) && !voters.contains(lost));
    }

    private static long millisSince(long startNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    private static void pause() {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_MILLIS));
    }

    private static void pass(long millis) {
        final long startNanos = System.nanoTime();
        while (millisSince(startNanos) < millis) {
            pause();
        }
    }

    private void startVoters() {
        ControlFleet.VOTERS.forEach(fleet::start);
        awaitLeader();
    }

    @Nested
    class LostVoter {
        private static final long STEP_INTERVAL_MILLIS = 1_000;
        private static final long CUT_MILLIS = 1_000;
        private static final long BETWEEN_CUTS_MILLIS = 2_000;
        private static final long LIMIT_MILLIS = 12_000;

        @BeforeEach
        void start() {
            startVoters();
        }

        // Guards against: each jump of the leader's clock began the wait for a replacement anew.
        @Test
        void isReplacedWhileTheClocksAreSetForwardAgainAndAgain() {
            fleet.start(SPARE);
            final String lost = anyFollower();
            fleet.stop(lost);

            final long startNanos = System.nanoTime();
            while (!isReplaced(lost)) {
                assertTrue(millisSince(startNanos) < LIMIT_MILLIS, lost + " is still a voter");
                fleet.setClocksForward(CLOCK_STEP_MILLIS);
                pass(STEP_INTERVAL_MILLIS);
            }
        }

        // Guards against: each election began the wait for a replacement anew.
        @Test
        void isReplacedWhileLeadersAreElectedAgainAndAgain() {
            fleet.start(SPARE);
            final String lost = anyFollower();
            fleet.stop(lost);

            final long startNanos = System.nanoTime();
            while (!isReplaced(lost)) {
                assertTrue(millisSince(startNanos) < LIMIT_MILLIS, lost + " is still a voter");
                final String leader = awaitLeader();
                fleet.network().isolate(leader);
                pass(CUT_MILLIS);
                fleet.network().reconnect(leader);
                pass(BETWEEN_CUTS_MILLIS);
            }
        }
    }

    @Nested
    class RemovedVoter {
        private static final long BETWEEN_MILLIS = 1_000;

        @BeforeEach
        void start() {
            startVoters();
        }

        // Guards against: the next permitted loss came before a removed leader was replaced.
        @Test
        void leaderIsReplacedBeforeTheNextLossMayCome() {
            final long startNanos = System.nanoTime();
            fleet.start(SPARE);
            pass(BETWEEN_MILLIS);
            final String lost = awaitLeader();
            fleet.stop(lost);

            awaitReplacement(lost, startNanos);
        }

        // Guards against: a lost voter was still counted when the next permitted loss came.
        @Test
        void lostLeaderIsReplacedBeforeTheNextLossMayCome() {
            final String lost = awaitLeader();
            fleet.stop(lost);
            pass(BETWEEN_MILLIS);
            final long startNanos = System.nanoTime();
            fleet.start(SPARE);

            awaitReplacement(lost, startNanos);
        }

        // Guards against: a new leader took a voter for silent that only the last leader had heard.
        @Test
        void everyVoterIsHeardByThoseThatMayLeadNext() {
            pass(CATCH_UP_MILLIS);
            fleet.network().forgetJoins();
            pass(2 * BETWEEN_MILLIS);

            final String leader = awaitLeader();
            final List<String> followers =
                    ControlFleet.VOTERS.stream().filter(name -> !name.equals(leader)).toList();
            assertTrue(fleet.network().hasJoined(followers.get(0), followers.get(1)), "first");
            assertTrue(fleet.network().hasJoined(followers.get(1), followers.get(0)), "second");
        }

        // Guards against: a planned stop kept its vote although another instance was there.
        @Test
        void voterThatStopsAsPlannedHasNoVoteWhenItEnds() {
            fleet.start(SPARE);
            pass(CATCH_UP_MILLIS);
            final String leader = awaitLeader();
            final String follower = anyFollower();

            fleet.giveVoteBack(follower);
            assertFalse(fleet.voters(leader).contains(follower), follower + " is still a voter");
            fleet.stop(follower);
            fleet.start(follower);
            pass(CATCH_UP_MILLIS);
            fleet.giveVoteBack(leader);
            fleet.stop(leader);

            final List<String> voters = fleet.voters(awaitLeader());
            assertTrue(voters.contains(follower), follower + " is no voter again");
            assertFalse(voters.contains(leader), leader + " is still a voter");
        }

        private void awaitReplacement(String lost, long startNanos) {
            while (!isReplaced(lost)) {
                assertTrue(millisSince(startNanos) < CATCH_UP_MILLIS, lost + " is still a voter");
                pause();
            }
        }
    }

    @Nested
    class FirstStart {
        private static final String LOST = "three";
        private static final long LIMIT_MILLIS = 12_000;

        // Guards against: a voter lost at the first start kept the group from ever forming.
        @Test
        void groupFormsWithoutOneThatIsLost() {
            ControlFleet.VOTERS.stream().filter(name -> !name.equals(LOST)).forEach(fleet::start);
            fleet.start(SPARE);

            final long startNanos = System.nanoTime();
            while (!isReplaced(LOST)) {
                assertTrue(millisSince(startNanos) < LIMIT_MILLIS, LOST + " is still a voter");
                pause();
            }
        }

        // Guards against: a voter that came late was never counted.
        @Test
        void oneThatComesLateIsNeededAndCounts() {
            ControlFleet.VOTERS.stream().filter(name -> !name.equals(LOST)).forEach(fleet::start);
            final String first = awaitLeader();
            fleet.start(LOST);
            pass(CATCH_UP_MILLIS);
            fleet.stop(first);

            awaitLeader();
            assertTrue(fleet.voters(LOST).contains(LOST), LOST + " is no voter");
        }
    }
}
