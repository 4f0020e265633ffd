package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ControlFreshnessTest {
    private static final long BOUND_MILLIS = 4_000;

    private long epochMillis = 1_000_000;
    private final ControlFreshness freshness =
            ControlFreshness.ofMillis(BOUND_MILLIS, () -> epochMillis, 0);

    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private boolean isFreshAt(long millis) {
        epochMillis = 1_000_000 + millis;
        return freshness.isFresh(millis(millis));
    }

    @Test
    void ageCountsFromSendingOfReport() {
        freshness.confirm(millis(100));

        assertTrue(isFreshAt(100 + BOUND_MILLIS - 1));
        assertFalse(isFreshAt(100 + BOUND_MILLIS));
    }

    @Test
    void suspensionHiddenByMonotonicClockEndsFreshness() {
        freshness.confirm(millis(100));
        assertTrue(isFreshAt(200));
        epochMillis += 60_000;

        assertFalse(freshness.isFresh(millis(201)));
    }

    @Test
    void answersToReportsSentBeforeInvalidationAreIgnored() {
        freshness.invalidate(millis(500));
        freshness.confirm(millis(499));
        assertFalse(isFreshAt(600));

        freshness.confirm(millis(501));
        assertTrue(isFreshAt(600));
    }

    @Test
    void isNotFreshBeforeFirstConfirmation() {
        assertFalse(isFreshAt(0));
    }

    @Test
    void retryDelayBeforeFirstAnswerCountsFromStart() {
        assertEquals(800, freshness.retryDelay(millis(300)).toMillis());
    }

    @Test
    void retryDelayAfterLeaderLossCountsFromLastAnswer() {
        freshness.confirm(millis(5_000));

        assertEquals(500, freshness.retryDelay(millis(5_400)).toMillis());
    }

    @Test
    void retryDelayIsMinimalAfterInvalidation() {
        freshness.confirm(millis(100));
        freshness.invalidate(millis(200));

        assertEquals(200, freshness.retryDelay(millis(201)).toMillis());
    }
}
