package org.crocushaven.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ControlInstanceTest {
    private static final String NO_VOTER = "no-voter";
    private static final String BACKEND = "worker";
    private static final long TIMEOUT_MILLIS = 20_000;

    @TempDir private Path folder;
    private ControlFleet fleet;

    @BeforeEach
    void start() {
        fleet = new ControlFleet(folder);
        ControlFleet.VOTERS.forEach(fleet::start);
        fleet.start(NO_VOTER);
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    private static BackendAnnouncement announcement(long sequence, BackendState state) {
        return new BackendAnnouncement(
                BACKEND,
                "service",
                "10.0.0.1",
                80,
                "a",
                state,
                4,
                1,
                sequence,
                false,
                List.of(),
                "",
                0);
    }

    /** Returns the update of the leader other than the given instance, once there is one. */
    private Led awaitLeader(String except) {
        final long startNanos = System.nanoTime();
        while (TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos) < TIMEOUT_MILLIS) {
            for (final String name : ControlFleet.VOTERS) {
                if (!name.equals(except) && fleet.report(name) instanceof GatewayUpdate update) {
                    return new Led(name, update);
                }
            }
        }
        throw new AssertionError("no instance leads");
    }

    private static Optional<BackendState> stateOf(GatewayUpdate update) {
        return update.changed().stream()
                .filter(record -> record.backend().equals(BACKEND))
                .map(BackendRecord::state)
                .findFirst();
    }

    private String leaderThatKnowsBackend() {
        awaitLeader("");
        ControlFleet.VOTERS.forEach(
                name -> fleet.announce(name, announcement(1, BackendState.READY)));
        return leaderThatTells(BACKEND);
    }

    /** Announces as a backend server does, again and again until it is answered. */
    private void announceUntilAcknowledged(String instance, BackendAnnouncement announcement) {
        final long startNanos = System.nanoTime();
        while (!fleet.announce(instance, announcement)) {
            assertTrue(
                    TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos) < TIMEOUT_MILLIS,
                    "not acknowledged by " + instance);
        }
    }

    @Nested
    class AcknowledgedDepartures {
        @Test
        void areKnownToTheNextLeaderThoughTheFirstOneToldNobody() {
            final String leader = leaderThatKnowsBackend();
            fleet.network().loseOneWay(BackendAnnouncement.class);
            announceUntilAcknowledged(leader, announcement(2, BackendState.DRAINING));

            fleet.network().isolate(leader);

            assertEquals(Optional.of(BackendState.DRAINING), stateOf(awaitLeader(leader).update()));
        }

        @Test
        void ofDeregisteredBackendServersAreKnownToTheNextLeader() {
            final String leader = leaderThatKnowsBackend();
            fleet.network().loseOneWay(BackendAnnouncement.class);
            announceUntilAcknowledged(leader, BackendAnnouncement.deregistration(BACKEND));

            fleet.network().isolate(leader);

            assertEquals(Optional.empty(), stateOf(awaitLeader(leader).update()));
        }

        @Test
        void ofDeregisteredBackendServersEndStartsThatTheLeaderDidNotHearOf() {
            final String leader = leaderThatKnowsBackend();
            fleet.network().loseOneWay(BackendAnnouncement.class);
            ControlFleet.VOTERS.stream()
                    .filter(name -> !name.equals(leader))
                    .forEach(name -> fleet.announce(name, secondStart()));
            announceUntilAcknowledged(leader, BackendAnnouncement.deregistration(BACKEND));

            fleet.network().isolate(leader);

            assertEquals(Optional.empty(), stateOf(awaitLeader(leader).update()));
        }

        private BackendAnnouncement secondStart() {
            return announcement(1, BackendState.READY).withStart(2);
        }

        @Test
        void areNotGivenByLeaderThatReachesNoOtherInstance() {
            final String leader = leaderThatKnowsBackend();
            fleet.network().isolate(leader);

            assertFalse(fleet.announce(leader, announcement(2, BackendState.DRAINING)));
        }

        @Test
        void areGivenByInstanceThatIsNoVoter() {
            leaderThatKnowsBackend();

            announceUntilAcknowledged(NO_VOTER, announcement(2, BackendState.DRAINING));
        }
    }

    @Nested
    class SoftwareVersionsInUse {
        @Test
        void streamsOfFleetOfOneVersionAreNotRefusedAfterTheLeaderIsLost() {
            final String leader = leaderThatKnowsBackend();
            assertEquals(Optional.of(origin("")), fleet.unknownStreamOrigin(leader, "service"));

            fleet.network().isolate(leader);

            final String next = awaitLeader(leader).instance();
            assertEquals(Optional.of(origin("")), fleet.unknownStreamOrigin(next, "service"));
        }

        @Test
        void secondVersionIsKnownToTheNextLeaderThoughItNeverHeardOfIt() {
            leaderThatKnowsBackend();
            fleet.network().loseOneWay(BackendAnnouncement.class);
            final String leader = leaderThatAloneHeardOf("v2");

            fleet.network().isolate(leader);

            final String next = awaitLeader(leader).instance();
            assertEquals(Optional.empty(), fleet.unknownStreamOrigin(next, "service"));
        }

        @Test
        void versionIsUsedByNoGatewayBeforeItIsCommitted() {
            final String leader = leaderThatKnowsBackend();
            fleet.network().isolate(leader);
            fleet.announce(leader, ofVersion("v2"));

            assertTrue(
                    !(fleet.report(leader) instanceof GatewayUpdate update)
                            || update.changed().stream()
                                    .noneMatch(record -> record.softwareVersion().equals("v2")));
        }

        private static StreamOrigin origin(String softwareVersion) {
            return new StreamOrigin("service", softwareVersion);
        }

        private String leaderThatAloneHeardOf(String softwareVersion) {
            final long startNanos = System.nanoTime();
            while (true) {
                final Led led = awaitLeader("");
                if (led.update().changed().stream()
                        .anyMatch(record -> record.softwareVersion().equals(softwareVersion))) {
                    return led.instance();
                }
                fleet.announce(led.instance(), ofVersion(softwareVersion));
                assertTrue(
                        TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos)
                                < TIMEOUT_MILLIS,
                        softwareVersion + " is not told to gateways");
            }
        }

        private static BackendAnnouncement ofVersion(String softwareVersion) {
            return new BackendAnnouncement(
                    "worker-" + softwareVersion,
                    "service",
                    "10.0.0.2",
                    80,
                    "a",
                    BackendState.READY,
                    4,
                    1,
                    1,
                    false,
                    List.of(),
                    softwareVersion,
                    0);
        }
    }

    /** Waits until whoever leads tells gateways of a backend server that they may use. */
    private String leaderThatTells(String backend) {
        final long startNanos = System.nanoTime();
        while (TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos) < TIMEOUT_MILLIS) {
            final Led led = awaitLeader("");
            if (led.update().changed().stream()
                    .anyMatch(
                            record ->
                                    record.backend().equals(backend)
                                            && record.state() == BackendState.READY)) {
                return led.instance();
            }
        }
        throw new AssertionError(backend + " is not told to gateways");
    }

    /**
     * The leader of a moment.
     *
     * @param instance its name
     * @param update its answer to a gateway that knows nothing
     */
    private record Led(String instance, GatewayUpdate update) {}
}
