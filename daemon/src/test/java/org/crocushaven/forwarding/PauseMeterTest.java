package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class PauseMeterTest {
    private final PauseMeter pauses = new PauseMeter();

    private void eventAt(long millis) {
        pauses.recordEvent(TimeUnit.MILLISECONDS.toNanos(millis));
    }

    @Test
    void ignoresWaitForFirstEvent() {
        eventAt(900);

        assertEquals(0, pauses.longestMillis());
    }

    @Test
    void keepsLongestPause() {
        eventAt(100);
        eventAt(150);
        eventAt(480);
        eventAt(500);

        assertEquals(330, pauses.longestMillis());
    }
}
