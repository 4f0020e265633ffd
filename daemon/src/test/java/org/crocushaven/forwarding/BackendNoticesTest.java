package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.crocushaven.fleet.BackendRecord;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class BackendNoticesTest {
    private final BackendNotices notices = new BackendNotices();

    private static BackendRecord started(long startedMillis) {
        return started("one", startedMillis);
    }

    private static BackendRecord started(String backend, long startedMillis) {
        return BackendRecordBuilder.of(backend, "engines")
                .withSlots(8)
                .startedAt(startedMillis)
                .build();
    }

    @Nested
    class Pauses {
        private static final long NOW_NANOS = Long.MAX_VALUE - 10;
        private static final long PAUSE_NANOS = 1_000;
        private static final long FIRST_RECORD_NANOS = TimeUnit.SECONDS.toNanos(2);

        private boolean pause(long pauseNanos, long nowNanos) {
            return notices.recordPause("one", Duration.ofNanos(pauseNanos), nowNanos);
        }

        @Test
        void endWhenTheirTimeIsOver() {
            pause(PAUSE_NANOS, NOW_NANOS);

            assertEquals(PAUSE_NANOS, notices.pauseNanos(started(5), NOW_NANOS));
            assertFalse(notices.allowRequests(started(5), NOW_NANOS + PAUSE_NANOS - 1));
            assertTrue(notices.allowRequests(started(5), NOW_NANOS + PAUSE_NANOS));
            assertTrue(notices.allowRequests(started("two", 5), NOW_NANOS));
        }

        @Test
        void areNotShortenedByLaterAnswers() {
            pause(PAUSE_NANOS, NOW_NANOS);
            pause(1, NOW_NANOS + 1);

            assertEquals(PAUSE_NANOS - 2, notices.pauseNanos(started(5), NOW_NANOS + 2));
        }

        @Test
        void areExtendedByLaterAnswers() {
            pause(PAUSE_NANOS, NOW_NANOS);
            pause(PAUSE_NANOS, NOW_NANOS + 1);

            assertEquals(PAUSE_NANOS - 1, notices.pauseNanos(started(5), NOW_NANOS + 2));
        }

        @Test
        void askedForShortlyBeforeTheFirstRecordOfStartHoldForIt() {
            notices.recordReceived(started(5), NOW_NANOS);
            pause(FIRST_RECORD_NANOS + 2, NOW_NANOS);
            notices.recordReceived(started(6), NOW_NANOS + FIRST_RECORD_NANOS);

            assertEquals(1, notices.pauseNanos(started(6), NOW_NANOS + FIRST_RECORD_NANOS + 1));
        }

        @Test
        void askedForLongBeforeTheFirstRecordOfStartEndWithIt() {
            notices.recordReceived(started(5), NOW_NANOS);
            pause(2 * FIRST_RECORD_NANOS, NOW_NANOS);
            notices.recordReceived(started(6), NOW_NANOS + FIRST_RECORD_NANOS + 1);

            assertTrue(notices.allowRequests(started(6), NOW_NANOS + FIRST_RECORD_NANOS + 1));
        }

        @Test
        void doNotEndWithRecordsOfStartsThatWereKnown() {
            notices.recordReceived(started(5), NOW_NANOS);
            notices.recordReceived(started(6), NOW_NANOS);
            pause(2 * FIRST_RECORD_NANOS, NOW_NANOS);
            notices.recordReceived(started(5), NOW_NANOS + 1);
            notices.recordReceived(started(6), NOW_NANOS + FIRST_RECORD_NANOS + 1);

            assertFalse(notices.allowRequests(started(6), NOW_NANOS + FIRST_RECORD_NANOS + 1));
        }

        @Test
        void areNewUntilTheyHold() {
            assertFalse(pause(0, NOW_NANOS));
            assertTrue(pause(PAUSE_NANOS, NOW_NANOS));
            assertFalse(pause(PAUSE_NANOS, NOW_NANOS + 1));
            assertTrue(pause(PAUSE_NANOS, NOW_NANOS + 1 + PAUSE_NANOS));
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
