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
            loadTime.planned(nowNanos);
        }
    }

    private long millisAfter(long passedMillis) {
        nowNanos += TimeUnit.MILLISECONDS.toNanos(passedMillis);
        return loadTime.untilTurnMillis(nowNanos) + loadTime.millis();
    }

    @Test
    void loadsBelowTheStoresFullSpeedTakeTheUsualTime() {
        loadTime.engines(10);
        begin(5);

        assertEquals(252, millisAfter(0));
    }

    @Test
    void moreLoadsWaitForTheirTurn() {
        loadTime.engines(10);
        begin(10);
        assertEquals(252, loadTime.untilTurnMillis(nowNanos));

        begin(10);

        assertEquals(504, loadTime.untilTurnMillis(nowNanos));
        assertEquals(756, millisAfter(0));
    }

    /** Of many adapters wanted at once the first half is there before all would be together. */
    @Test
    void oneAfterTheOtherComesSoonerThanAllTogether() {
        loadTime.engines(8);
        final int wanted = 32;
        long sum = 0;
        for (int load = 0; load < wanted; load++) {
            sum += loadTime.untilTurnMillis(nowNanos) + loadTime.millis();
            loadTime.planned(nowNanos);
        }
        final long together = 252 * wanted / 8;

        assertTrue(sum / wanted <= together * 0.65, "mean: " + sum / wanted);
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
            loadTime.planned(nowNanos);
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
