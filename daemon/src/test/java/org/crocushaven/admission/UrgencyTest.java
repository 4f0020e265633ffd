package org.crocushaven.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class UrgencyTest {
    private static long patience(long objective, long elapsed, long remaining) {
        return Urgency.of(0, objective, elapsed, remaining).patienceMillis();
    }

    @Nested
    class Patience {
        @Test
        void isWhatTheObjectiveLeaves() {
            assertEquals(640, patience(1_000, 0, 12_000));
            assertEquals(540, patience(1_000, 100, 11_900));
        }

        @Test
        void isNeverLessThanTheShortest() {
            assertEquals(120, patience(400, 0, 12_000));
        }

        @Test
        void isBounded() {
            assertEquals(1_500, patience(5_000, 0, 12_000));
        }

        @Test
        void isPartOfTheTimeLeftAfterTheObjective() {
            assertEquals(1_000, patience(500, 600, 11_400));
            assertEquals(500, patience(500, 1_500, 1_500));
        }

        @Test
        void isNothingWhereNoLoadWouldEndInTime() {
            assertEquals(0, patience(500, 0, 360));
            assertEquals(40, patience(500, 0, 400));
        }
    }
}
