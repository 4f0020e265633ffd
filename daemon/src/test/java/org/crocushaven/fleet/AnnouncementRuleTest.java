package org.crocushaven.fleet;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class AnnouncementRuleTest {
    private static BackendAnnouncement announcement(
            String host, int port, int requestSlots, long startedMillis, long sequence) {
        return new BackendAnnouncement(
                "one",
                "service",
                host,
                port,
                "a",
                BackendState.READY,
                requestSlots,
                startedMillis,
                sequence,
                true,
                List.of(),
                "v1",
                0);
    }

    private static void assertRefused(String field, BackendAnnouncement announcement) {
        final ResultException refusal =
                assertThrows(
                        ResultException.class, () -> AnnouncementRule.requireUsable(announcement));
        assertEquals(ResultCode.ANNOUNCEMENT_INVALID, refusal.code());
        assertTrue(refusal.getMessage().contains(field), refusal.getMessage());
    }

    @Nested
    class Addresses {
        @ParameterizedTest
        @ValueSource(ints = {-1, 0, 65_536, 70_000, Integer.MAX_VALUE})
        void aPortOutOfRangeIsRefused(int port) {
            assertRefused("port is " + port, announcement("10.0.0.9", port, 8, 1, 1));
        }

        @ParameterizedTest
        @ValueSource(strings = {"", "engine.example", "10.0.0.256", "10.0.0"})
        void aHostThatIsNoAddressIsRefused(String host) {
            assertRefused("host", announcement(host, 8080, 8, 1, 1));
        }

        @ParameterizedTest
        @ValueSource(strings = {"10.0.0.9", "[::1]"})
        void bothKindsOfAddressAreTaken(String host) {
            assertDoesNotThrow(
                    () -> AnnouncementRule.requireUsable(announcement(host, 65_535, 8, 1, 1)));
        }
    }

    @Nested
    class Numbers {
        @ParameterizedTest
        @ValueSource(ints = {Integer.MIN_VALUE, -1, 1_000_001})
        void slotsOutOfRangeAreRefused(int requestSlots) {
            assertRefused(
                    "slots is " + requestSlots, announcement("10.0.0.9", 80, requestSlots, 1, 1));
        }

        /** Later heartbeats of the backend server would all count as older. */
        @Test
        void aSequenceThatNoBackendServerReachesIsRefused() {
            assertRefused("sequence", announcement("10.0.0.9", 80, 8, 1, Long.MAX_VALUE));
        }

        /** Later starts at the address would all count as earlier. */
        @Test
        void aStartThatNoClockShowsIsRefused() {
            assertRefused("start", announcement("10.0.0.9", 80, 8, Long.MAX_VALUE, 1));
        }
    }

    @Nested
    class Deregistrations {
        @Test
        void needNoAddress() {
            assertDoesNotThrow(
                    () ->
                            AnnouncementRule.requireUsable(
                                    BackendAnnouncement.deregistration("one")));
        }
    }
}
