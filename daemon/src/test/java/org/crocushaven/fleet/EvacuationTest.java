package org.crocushaven.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.crocushaven.evacuation.EvacuationOrder;
import org.crocushaven.protocol.MessageCodec;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class EvacuationTest {
    private static final String DOMAIN = "a";
    private static final String NO_VOTER = "no-voter";
    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);

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

    /** Sends an order as an operator does, to the instances in turn, until one acknowledges it. */
    private void orderUntilAcknowledged(boolean begins, String except) {
        final long startNanos = System.nanoTime();
        while (System.nanoTime() - startNanos < TIMEOUT_NANOS) {
            for (final String name : ControlFleet.VOTERS) {
                if (!name.equals(except) && fleet.evacuate(name, DOMAIN, begins)) {
                    return;
                }
            }
        }
        throw new AssertionError("no instance acknowledges");
    }

    /** Returns the evacuated domains that the leader tells gateways. */
    private List<String> told(String except) {
        final long startNanos = System.nanoTime();
        while (System.nanoTime() - startNanos < TIMEOUT_NANOS) {
            for (final String name : ControlFleet.VOTERS) {
                if (!name.equals(except) && fleet.report(name) instanceof GatewayUpdate update) {
                    return update.evacuatedDomains();
                }
            }
        }
        throw new AssertionError("no instance leads");
    }

    private String awaitLeader() {
        told("");
        final Optional<String> leader = fleet.leader();
        return leader.orElseThrow();
    }

    @Nested
    class Acknowledged {
        @Test
        void isToldToGatewaysUntilItIsTakenBack() {
            orderUntilAcknowledged(true, "");
            assertEquals(List.of(DOMAIN), told(""));

            orderUntilAcknowledged(false, "");

            assertEquals(List.of(), told(""));
        }

        @Test
        void byAnInstanceWithoutVoteIsInForce() {
            awaitLeader();
            final long startNanos = System.nanoTime();
            while (!fleet.evacuate(NO_VOTER, DOMAIN, true)) {
                assertTrue(System.nanoTime() - startNanos < TIMEOUT_NANOS, "not acknowledged");
            }

            assertEquals(List.of(DOMAIN), told(""));
        }

        @Test
        void isKnownToTheNextLeader() {
            orderUntilAcknowledged(true, "");
            final String leader = awaitLeader();

            fleet.network().isolate(leader);

            assertEquals(List.of(DOMAIN), told(leader));
        }

        @Test
        void isKnownAfterAllInstancesWereStopped() {
            orderUntilAcknowledged(true, "");

            ControlFleet.VOTERS.forEach(fleet::stop);
            ControlFleet.VOTERS.forEach(fleet::start);

            assertEquals(List.of(DOMAIN), told(""));
        }
    }

    @Nested
    class WhileTheLeaderIsLost {
        @Test
        void anOrderIsAcknowledgedOnceThereIsAnother() {
            final String leader = awaitLeader();
            fleet.network().isolate(leader);

            orderUntilAcknowledged(true, leader);
            orderUntilAcknowledged(false, leader);
            orderUntilAcknowledged(true, leader);

            assertEquals(List.of(DOMAIN), told(leader));
        }

        @Test
        void theLostOneAcknowledgesNothing() {
            final String leader = awaitLeader();
            fleet.network().isolate(leader);

            assertFalse(fleet.evacuate(leader, DOMAIN, true));
        }
    }

    @Test
    void unknownFailureDomainIsRefusedAtOnce() {
        awaitLeader();

        final CompletableFuture<Void> ordered = fleet.orderEvacuation("one", "nowhere", true);

        final CompletionException failure = assertThrows(CompletionException.class, ordered::join);
        assertEquals(
                ResultCode.UNKNOWN_FAILURE_DOMAIN, ((ResultException) failure.getCause()).code());
    }

    @Nested
    class State {
        private final FleetState state = FleetState.create();

        private byte[] order(boolean begins, long revision) {
            return state.apply(
                    revision + 1,
                    MessageCodec.encodeValue(
                            FleetCommand.evacuation(
                                    new EvacuationOrder(DOMAIN, begins, revision))));
        }

        @Test
        void isPartOfSnapshots() {
            order(true, 0);
            final FleetState restored = FleetState.create();

            restored.restore(9, state.snapshot());

            assertEquals(List.of(DOMAIN), restored.view().evacuatedDomains());
            assertEquals(state.evacuation(DOMAIN), restored.evacuation(DOMAIN));
        }

        @Test
        void refusesLateOrders() {
            order(true, 0);
            order(false, 1);

            assertTrue(
                    FleetState.isRefused(
                            state.apply(
                                    9,
                                    MessageCodec.encodeValue(
                                            FleetCommand.evacuation(
                                                    new EvacuationOrder(DOMAIN, true, 0))))));
        }
    }
}
