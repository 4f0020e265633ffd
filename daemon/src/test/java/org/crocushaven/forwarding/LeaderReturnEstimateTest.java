package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class LeaderReturnEstimateTest {
    private static long delayAfter(long outageMillis) {
        return LeaderReturnEstimate.untilAnswer(outageMillis).toMillis();
    }

    @Test
    void delayEndsWithElection() {
        assertEquals(900, delayAfter(0));
        assertEquals(500, delayAfter(400));
    }

    @Test
    void delayHasMinimum() {
        assertEquals(200, delayAfter(880));
    }

    @Test
    void partitionIsExpectedToLastAsLongAgainUpToMaximum() {
        assertEquals(2_500, delayAfter(2_500));
        assertEquals(4_000, delayAfter(60_000));
    }
}
