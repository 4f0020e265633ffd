package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
