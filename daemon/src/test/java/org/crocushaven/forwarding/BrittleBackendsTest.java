package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalDouble;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.crocushaven.fleet.BackendRecord;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class BrittleBackendsTest {
    private static final int SLOTS = 32;
    private static final OptionalDouble BEARS = OptionalDouble.of(4);

    private final BrittleBackends brittle = new BrittleBackends(new Random(1));
    private final BackendRecord backend = record(1);
    private long nowMillis = 1_000;

    private static BackendRecord record(long startedMillis) {
        return BackendRecordBuilder.of("b", "engines")
                .withSlots(SLOTS)
                .running("v1")
                .startedAt(startedMillis)
                .build();
    }

    private long nowNanos() {
        return TimeUnit.MILLISECONDS.toNanos(nowMillis);
    }

    private void say(OptionalDouble bears) {
        brittle.recordAnswer(backend, bears, nowNanos(), nowNanos());
        nowMillis++;
    }

    private int taken(int requestsThere) {
        int taken = 0;
        while (taken < 1_000 && brittle.tryTake(backend, requestsThere, nowNanos())) {
            taken++;
        }
        return taken;
    }

    @Nested
    class Room {
        @Test
        void isUnlimitedAtBackendServersThatAreNotBrittle() {
            assertEquals(1_000, taken(SLOTS));
        }

        @Test
        void isDividedAmongTheGatewaysWithEachView() {
            say(BEARS);
            brittle.viewChanged(7);
            assertEquals(4, taken(0));
            assertEquals(0, taken(0));

            brittle.viewChanged(7);
            assertEquals(2, taken(14));
        }

        @Test
        void ofLessThanOneForEachGoesToThemByChance() {
            say(BEARS);
            int taken = 0;
            for (int round = 0; round < 700; round++) {
                brittle.viewChanged(7);
                taken += taken(26);
            }

            assertTrue(taken > 140 && taken < 260, "taken " + taken);
        }

        @Test
        void isNoneWhenTheSlotsAreTaken() {
            say(BEARS);
            brittle.viewChanged(2);

            assertEquals(0, taken(28));
            assertFalse(brittle.allows(backend, 28, nowNanos()));
        }
    }

    @Nested
    class Rejections {
        @Test
        void keepTheGatewayAwayForItsPartOfThem() {
            say(BEARS);
            brittle.viewChanged(7);
            brittle.recordRejection(backend, nowNanos());

            nowMillis += 3_499;
            brittle.viewChanged(7);
            assertFalse(brittle.allows(backend, 0, nowNanos()));
            nowMillis++;
            brittle.viewChanged(7);
            assertTrue(brittle.allows(backend, 0, nowNanos()));
        }
    }

    @Nested
    class End {
        @Test
        void comesWithAnAnswerToLaterRequestThatDoesNotSaySo() {
            say(BEARS);
            assertFalse(brittle.recordAnswer(backend, OptionalDouble.empty(), 0, nowNanos()));
            brittle.viewChanged(1);
            assertFalse(brittle.allows(backend, SLOTS, nowNanos()));

            say(OptionalDouble.empty());

            assertTrue(brittle.allows(backend, SLOTS, nowNanos()));
        }

        @Test
        void comesWithTheNextStart() {
            say(BEARS);

            assertTrue(brittle.allows(record(2), SLOTS, nowNanos()));
        }
    }
}
