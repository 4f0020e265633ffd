package org.crocushaven.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.crocushaven.admission.ShareReport;
import org.crocushaven.backend.BackendServer;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DispatcherAssignmentsTest {
    private static final SessionSettings SETTINGS = SessionSettings.defaults();
    private static final ShareReport NO_SHARES = new ShareReport(1, 0, 0, 1, false, List.of(), 0);
    private static final BackendServer ENGINE = server("engine", "a", 1);

    private final DispatcherAssignments assignments = DispatcherAssignments.create(3, SETTINGS, 0);

    private static BackendServer server(String name, String failureDomain, long incarnation) {
        return new BackendServer(
                name, "service", failureDomain, "127.0.0.1", 9, incarnation, 4, 8, true);
    }

    private static long millis(long value) {
        return TimeUnit.MILLISECONDS.toNanos(value);
    }

    private void heartbeat(
            String instance,
            String failureDomain,
            boolean leaving,
            List<HeldAssignment> held,
            long atMillis,
            AnnouncedServer... heard) {
        assignments.heartbeat(
                new SessionHeartbeat(
                        instance,
                        failureDomain,
                        1,
                        assignments.table().revision(),
                        leaving,
                        List.of(heard),
                        held,
                        NO_SHARES),
                millis(atMillis));
    }

    private void heartbeat(String instance, String failureDomain, long atMillis) {
        heartbeat(
                instance,
                failureDomain,
                false,
                heldBy(instance),
                atMillis,
                new AnnouncedServer(ENGINE, AnnouncedServer.State.SERVING));
    }

    private List<HeldAssignment> heldBy(String instance) {
        return assignments.table().assignments().stream()
                .filter(assignment -> assignment.dispatcher().equals(instance))
                .map(
                        assignment ->
                                new HeldAssignment(assignment.server(), assignment.fencingNumber()))
                .toList();
    }

    private String dispatcherAfterTick(long atMillis) {
        assignments.tick(millis(atMillis));
        return assignments.table().assignments().stream()
                .findFirst()
                .map(DispatchAssignment::dispatcher)
                .orElse("");
    }

    @Nested
    class NewLeader {
        @Test
        void assignsNothingWhileEarlierSessionsMayBeValid() {
            heartbeat("i1", "a", 100);

            assertEquals("", dispatcherAfterTick(2_099));
            heartbeat("i1", "a", 2_100);
            assertEquals("i1", dispatcherAfterTick(2_100));
        }

        @Test
        void keepsLeaseThatItsHolderRedeclares() {
            heartbeat("i1", "a", false, List.of(new HeldAssignment(ENGINE, 77)), 100);
            heartbeat("i2", "a", 2_000);
            heartbeat("i1", "a", false, List.of(new HeldAssignment(ENGINE, 77)), 2_000);

            assertEquals("i1", dispatcherAfterTick(2_200));
            assertEquals(77, assignments.table().assignments().get(0).fencingNumber());
        }

        @Test
        void startsWithHigherTableRevisionThanEarlierTerms() {
            final DispatcherAssignments next = DispatcherAssignments.create(4, SETTINGS, 0);

            assertTrue(next.table().revision() > assignments.table().revision() + 1_000_000);
        }
    }

    @Nested
    class LostSession {
        @Test
        void keepsDispatcherUntilSessionExpires() {
            heartbeat("i1", "a", 2_100);
            dispatcherAfterTick(2_100);
            heartbeat("i2", "a", 4_100);

            assertEquals("i1", dispatcherAfterTick(4_200));
            assertEquals("i2", dispatcherAfterTick(4_201));
        }

        @Test
        void raisesFencingNumberOnReassignment() {
            heartbeat("i1", "a", 2_100);
            dispatcherAfterTick(2_100);
            final long previousFencingNumber =
                    assignments.table().assignments().get(0).fencingNumber();
            heartbeat("i2", "a", 4_100);
            dispatcherAfterTick(4_300);

            assertTrue(
                    assignments.table().assignments().get(0).fencingNumber()
                            > previousFencingNumber);
        }

        @Test
        void getsHigherFencingNumberAfterInstanceDropsItsLeases() {
            heartbeat("i1", "a", 2_100);
            dispatcherAfterTick(2_100);
            final long previousFencingNumber =
                    assignments.table().assignments().get(0).fencingNumber();

            heartbeat("i1", "a", false, List.of(), 2_300);

            assertEquals("i1", dispatcherAfterTick(2_300));
            assertTrue(
                    assignments.table().assignments().get(0).fencingNumber()
                            > previousFencingNumber);
        }
    }

    @Nested
    class DispatcherChoice {
        @Test
        void prefersFailureDomainOfBackendServer() {
            heartbeat("i0", "b", 2_050);
            heartbeat("i1", "a", false, List.of(), 2_050);

            assertEquals("i1", dispatcherAfterTick(2_100));
        }

        @Test
        void usesOtherFailureDomainWhenOwnHasNoInstance() {
            heartbeat("i0", "b", 2_050);

            assertEquals("i0", dispatcherAfterTick(2_100));
        }

        @Test
        void excludesLeavingInstance() {
            heartbeat("i1", "a", 2_100);
            dispatcherAfterTick(2_100);
            heartbeat("i2", "a", 2_150);

            heartbeat("i1", "a", true, List.of(), 2_200);

            assertEquals("i2", dispatcherAfterTick(2_200));
        }
    }

    @Nested
    class BackendServers {
        @Test
        void thatLeaveAreRemovedFromTable() {
            heartbeat("i1", "a", 2_100);
            dispatcherAfterTick(2_100);

            heartbeat(
                    "i1",
                    "a",
                    false,
                    heldBy("i1"),
                    2_200,
                    new AnnouncedServer(ENGINE, AnnouncedServer.State.LEFT));

            assertEquals("", dispatcherAfterTick(2_200));
        }

        @Test
        void thatRestartAfterLeavingAreAssignedAgain() {
            heartbeat("i1", "a", 2_100);
            heartbeat(
                    "i1",
                    "a",
                    false,
                    heldBy("i1"),
                    2_200,
                    new AnnouncedServer(ENGINE, AnnouncedServer.State.LEFT));

            heartbeat(
                    "i1",
                    "a",
                    false,
                    heldBy("i1"),
                    2_300,
                    new AnnouncedServer(server("engine", "a", 2), AnnouncedServer.State.SERVING));

            assertEquals("i1", dispatcherAfterTick(2_300));
        }
    }
}
