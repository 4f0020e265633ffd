package org.crocushaven.network;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class SuspensionDetectorTest {
    private final SuspensionDetector detector = new SuspensionDetector();

    private boolean check(long monotonicMillis, long epochMillis) {
        return detector.wasSuspended(TimeUnit.MILLISECONDS.toNanos(monotonicMillis), epochMillis);
    }

    @Test
    void clocksThatAdvanceTogetherShowNoSuspension() {
        assertFalse(check(0, 1_000));
        assertFalse(check(60_000, 61_010));
    }

    @Test
    void wallClockThatRanAheadShowsSuspensionOnce() {
        check(0, 1_000);

        assertTrue(check(10, 5_000));
        assertFalse(check(20, 5_010));
    }

    @Test
    void wallClockThatIsSetBackShowsNoSuspension() {
        check(0, 10_000);

        assertFalse(check(10, 5_000));
    }
}
