package org.crocushaven.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class BackendRegistryTest {
    private static final long HEARTBEAT_MILLIS = 1_000;

    private final BackendRegistry registry = BackendRegistry.of(HEARTBEAT_MILLIS);

    private static BackendAnnouncement announcement(
            String backend, int port, long startedMillis, long sequence, BackendState state) {
        return new BackendAnnouncement(
                backend,
                "service",
                "10.0.0.1",
                port,
                "a",
                state,
                4,
                startedMillis,
                sequence,
                false,
                List.of(),
                "v1",
                0);
    }

    private static long seconds(long seconds) {
        return TimeUnit.SECONDS.toNanos(seconds);
    }

    @Nested
    class Acceptance {
        @Test
        void anOutOfOrderHeartbeatIsIgnored() {
            registry.accept(announcement("x", 1, 10, 5, BackendState.DRAINING), 0);

            assertFalse(registry.accept(announcement("x", 1, 10, 4, BackendState.READY), 0));
            assertEquals(BackendState.DRAINING, registry.find("x").orElseThrow().state());
        }

        @Test
        void aRestartWithTheSameIdentifierResetsTheSequence() {
            registry.accept(announcement("x", 1, 10, 50, BackendState.READY), 0);

            assertTrue(registry.accept(announcement("x", 1, 20, 1, BackendState.READY), 0));
            assertFalse(registry.accept(announcement("x", 1, 10, 51, BackendState.READY), 0));
        }

        @Test
        void heartbeatsAfterDeregistrationAreIgnored() {
            registry.accept(announcement("x", 1, 10, 5, BackendState.READY), 0);
            registry.accept(BackendAnnouncement.deregistration("x"), 0);

            assertFalse(registry.accept(announcement("x", 1, 10, 6, BackendState.READY), 0));
            assertTrue(registry.present().isEmpty());
        }

        @Test
        void softwareVersionIsStillKnownAfterTheDeregistrationThatNamesNone() {
            registry.accept(announcement("x", 1, 10, 5, BackendState.READY), 0);
            registry.accept(BackendAnnouncement.deregistration("x"), 0);

            assertEquals("v1", registry.find("x").orElseThrow().softwareVersion());
        }

        @Test
        void aLaterStartAtTheSameAddressReplacesTheBackendServer() {
            registry.accept(announcement("old", 1, 10, 5, BackendState.READY), 0);
            registry.accept(announcement("new", 1, 20, 1, BackendState.READY), 0);

            assertEquals(
                    List.of("new"),
                    registry.present().stream().map(BackendAnnouncement::backend).toList());
        }
    }

    @Nested
    class Departures {
        @Test
        void restoredDepartureKeepsOutLateHeartbeatsAndAdmitsLaterStart() {
            registry.restoreDeparture(announcement("x", 1, 10, 5, BackendState.DRAINING), 0);

            assertFalse(registry.accept(announcement("x", 1, 10, 4, BackendState.READY), 0));
            assertTrue(registry.accept(announcement("x", 1, 20, 1, BackendState.READY), 0));
        }

        @Test
        void restoredDepartureDoesNotReplaceLaterStart() {
            registry.accept(announcement("x", 1, 20, 1, BackendState.READY), 0);
            registry.restoreDeparture(announcement("x", 1, 10, 5, BackendState.GONE), 0);
            registry.restoreDeparture(BackendAnnouncement.deregistration("x").withStart(15), 0);

            assertEquals(BackendState.READY, registry.find("x").orElseThrow().state());
        }

        @Test
        void restoredDeregistrationEndsEarlierStart() {
            registry.accept(announcement("x", 1, 10, 1, BackendState.READY), 0);
            registry.restoreDeparture(BackendAnnouncement.deregistration("x").withStart(15), 0);

            assertEquals(BackendState.GONE, registry.find("x").orElseThrow().state());
        }

        @Test
        void deregistrationOfUnknownBackendServerKeepsOutItsLateHeartbeats() {
            registry.accept(BackendAnnouncement.deregistration("x").withStart(15), 0);

            assertFalse(registry.accept(announcement("x", 1, 10, 5, BackendState.READY), 0));
            assertTrue(registry.accept(announcement("x", 1, 20, 1, BackendState.READY), 0));
        }
    }

    @Nested
    class Expiry {
        @Test
        void aBackendServerIsSilentAfterThreeMissedHeartbeatsAndRemovedAfterTwelve() {
            registry.accept(announcement("x", 1, 10, 1, BackendState.READY), 0);

            assertFalse(registry.isSilent("x", seconds(2)));
            assertTrue(registry.isSilent("x", seconds(3)));
            assertTrue(registry.expire(seconds(11)).isEmpty());
            assertEquals(List.of("x"), registry.expire(seconds(12)));
        }
    }
}
