package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.crocushaven.fleet.BackendRecord;
import org.crocushaven.fleet.BackendState;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class BackendNoticesTest {
    private final BackendNotices notices = new BackendNotices();

    private static BackendRecord started(long startedMillis) {
        return started("one", startedMillis);
    }

    private static BackendRecord started(String backend, long startedMillis) {
        return new BackendRecord(
                backend,
                "engines",
                "10.0.0.1",
                1,
                "a",
                BackendState.READY,
                false,
                8,
                List.of(),
                "",
                startedMillis);
    }

    @Nested
    class Pauses {
        private static final long NOW_NANOS = Long.MAX_VALUE - 10;
        private static final long PAUSE_NANOS = 1_000;

        private boolean pause(long startedMillis, long pauseNanos, long nowNanos) {
            return notices.recordPause(
                    started(startedMillis), Duration.ofNanos(pauseNanos), nowNanos);
        }

        @Test
        void endWhenTheirTimeIsOver() {
            pause(5, PAUSE_NANOS, NOW_NANOS);

            assertEquals(PAUSE_NANOS, notices.pauseNanos(started(5), NOW_NANOS));
            assertFalse(notices.allowRequests(started(5), NOW_NANOS + PAUSE_NANOS - 1));
            assertTrue(notices.allowRequests(started(5), NOW_NANOS + PAUSE_NANOS));
            assertTrue(notices.allowRequests(started("two", 5), NOW_NANOS));
        }

        @Test
        void areNotShortenedByLaterAnswers() {
            pause(5, PAUSE_NANOS, NOW_NANOS);
            pause(5, 1, NOW_NANOS + 1);

            assertEquals(PAUSE_NANOS - 2, notices.pauseNanos(started(5), NOW_NANOS + 2));
        }

        @Test
        void areExtendedByLaterAnswers() {
            pause(5, PAUSE_NANOS, NOW_NANOS);
            pause(5, PAUSE_NANOS, NOW_NANOS + 1);

            assertEquals(PAUSE_NANOS - 1, notices.pauseNanos(started(5), NOW_NANOS + 2));
        }

        @Test
        void holdForTheirStartAndEarlierOnesOnly() {
            pause(5, PAUSE_NANOS, NOW_NANOS);

            assertFalse(notices.allowRequests(started(4), NOW_NANOS));
            assertTrue(notices.allowRequests(started(6), NOW_NANOS));
        }

        @Test
        void ofLaterStartReplaceTheEarlier() {
            pause(5, PAUSE_NANOS, NOW_NANOS);
            pause(6, 10, NOW_NANOS);
            pause(5, PAUSE_NANOS, NOW_NANOS);

            assertEquals(10, notices.pauseNanos(started(6), NOW_NANOS));
        }

        @Test
        void areNewUntilTheyHold() {
            assertFalse(pause(5, 0, NOW_NANOS));
            assertTrue(pause(5, PAUSE_NANOS, NOW_NANOS));
            assertFalse(pause(5, PAUSE_NANOS, NOW_NANOS + 1));
            assertTrue(pause(5, PAUSE_NANOS, NOW_NANOS + 1 + PAUSE_NANOS));
        }
    }

    @Nested
    class Departures {
        @Test
        void holdForTheirStartAndEarlierOnesOnly() {
            notices.recordLeaving(started(5));

            assertTrue(notices.isLeaving(started(4)));
            assertTrue(notices.isLeaving(started(5)));
            assertFalse(notices.isLeaving(started(6)));
            assertFalse(notices.isLeaving(started("two", 5)));
        }

        @Test
        void ofEarlierStartDoNotReplaceTheLater() {
            notices.recordLeaving(started(5));

            assertFalse(notices.recordLeaving(started(4)));
            assertTrue(notices.isLeaving(started(5)));
        }

        @Test
        void areNewOncePerStart() {
            assertTrue(notices.recordLeaving(started(5)));
            assertFalse(notices.recordLeaving(started(5)));
            assertTrue(notices.recordLeaving(started(6)));
        }

        @Test
        void areRememberedForManyBackendServers() {
            for (int number = 0; number < 5_000; number++) {
                notices.recordLeaving(started("backend-" + number, 1));
            }

            assertTrue(notices.isLeaving(started("backend-0", 1)));
        }
    }
}
