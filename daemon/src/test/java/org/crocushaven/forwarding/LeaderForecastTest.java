package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class LeaderForecastTest {
    private static long toldAfter(long outageMillis) {
        return LeaderForecast.untilAnswer(outageMillis).toMillis();
    }

    @Test
    void callersComeBackWhenTheElectionIsOver() {
        assertEquals(900, toldAfter(0));
        assertEquals(500, toldAfter(400));
    }

    @Test
    void nobodyIsToldToComeBackAtOnce() {
        assertEquals(200, toldAfter(880));
    }

    @Test
    void aCutIsExpectedToLastAsLongAgain() {
        assertEquals(2_500, toldAfter(2_500));
        assertEquals(4_000, toldAfter(60_000));
    }
}
