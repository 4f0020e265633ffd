package org.crocushaven.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class AdapterLoadTimeTest {
    private final AdapterLoadTime loadTime = new AdapterLoadTime();
    private long nowNanos = TimeUnit.SECONDS.toNanos(5);

    private void startLoads(int loads) {
        for (int load = 0; load < loads; load++) {
            loadTime.addLoad(nowNanos);
        }
    }

    private long estimateAfter(long passedMillis) {
        nowNanos += TimeUnit.MILLISECONDS.toNanos(passedMillis);
        return loadTime.queueDelayMillis(nowNanos) + loadTime.millis();
    }

    @Test
    void loadsBelowTheStoresFullSpeedTakeTheUsualTime() {
        loadTime.setEngineCount(10);
        startLoads(5);

        assertEquals(252, estimateAfter(0));
    }

    @Test
    void loadsBeyondTheFullSpeedLimitAreQueued() {
        loadTime.setEngineCount(10);
        startLoads(10);
        assertEquals(252, loadTime.queueDelayMillis(nowNanos));

        startLoads(10);

        assertEquals(504, loadTime.queueDelayMillis(nowNanos));
        assertEquals(756, estimateAfter(0));
    }

    /**
     * With 32 simultaneous requests, queued loads finish on average in at most 65 percent of the
     * time that all loads together would take.
     */
    @Test
    void queuedLoadsFinishSoonerThanConcurrentOnes() {
        loadTime.setEngineCount(8);
        final int loads = 32;
        long sum = 0;
        for (int load = 0; load < loads; load++) {
            sum += loadTime.queueDelayMillis(nowNanos) + loadTime.millis();
            loadTime.addLoad(nowNanos);
        }
        final long concurrentMillis = 252 * loads / 8;

        assertTrue(sum / loads <= concurrentMillis * 0.65, "mean: " + sum / loads);
    }

    @Test
    void endedLoadsLeaveTheQueue() {
        loadTime.setEngineCount(10);
        startLoads(18);

        assertEquals(252, estimateAfter(510));
    }

    /**
     * Guards against an estimate that grows although loads start more slowly than the store can
     * serve them.
     */
    @Test
    void steadyLoadsBelowTheStoresSpeedTakeTheUsualTime() {
        loadTime.setEngineCount(8);
        for (int load = 0; load < 200; load++) {
            nowNanos += TimeUnit.MILLISECONDS.toNanos(36);
            loadTime.addLoad(nowNanos);
        }

        assertTrue(estimateAfter(0) <= 300, "estimate: " + estimateAfter(0));
    }

    @Test
    void onlyLoadsOverdueBeyondTheReportLagIncreaseTheEstimate() {
        loadTime.setEngineCount(10);

        assertEquals(0, loadTime.updateForPending(100));
        assertEquals(252, estimateAfter(0));
        assertTrue(loadTime.updateForPending(400) > 0);
        assertTrue(estimateAfter(0) > 252);
    }
}
