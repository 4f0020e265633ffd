package org.crocushaven.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class AdapterLoadTimeTest {
    private final AdapterLoadTime loadTime = new AdapterLoadTime();
    private long nowNanos = TimeUnit.SECONDS.toNanos(5);

    private void begin(int loads) {
        for (int load = 0; load < loads; load++) {
            loadTime.hasBegun(nowNanos);
        }
    }

    private long millisAfter(long passedMillis) {
        nowNanos += TimeUnit.MILLISECONDS.toNanos(passedMillis);
        return loadTime.millis(nowNanos);
    }

    @Test
    void loadsBelowTheStoresFullSpeedTakeTheUsualTime() {
        loadTime.engines(10);
        begin(5);

        assertEquals(252, millisAfter(0));
    }

    @Test
    void moreLoadsShareItsSpeed() {
        loadTime.engines(10);
        begin(17);

        assertEquals(504, millisAfter(0));
    }

    @Test
    void loadsEndAndMakeRoom() {
        loadTime.engines(10);
        begin(18);

        assertEquals(252, millisAfter(510));
    }

    /** A steady stream below the store's speed must not come to look like a crowd. */
    @Test
    void aSteadyStreamStaysAtTheUsualTime() {
        loadTime.engines(8);
        for (int load = 0; load < 200; load++) {
            nowNanos += TimeUnit.MILLISECONDS.toNanos(36);
            loadTime.hasBegun(nowNanos);
        }

        assertTrue(millisAfter(0) <= 300, "expected: " + millisAfter(0));
    }

    @Test
    void reportsThatMayBeOldDoNotMakeItSlower() {
        loadTime.engines(10);

        assertEquals(0, loadTime.isOnItsWay(100));
        assertEquals(252, millisAfter(0));
        assertTrue(loadTime.isOnItsWay(400) > 0);
        assertTrue(millisAfter(0) > 252);
    }
}
