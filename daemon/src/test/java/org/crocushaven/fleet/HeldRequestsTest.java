package org.crocushaven.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class HeldRequestsTest {
    private static final long REQUEST = Trait.ofRequest(66);
    private static final List<TraitSuspect> HELD = List.of(new TraitSuspect(REQUEST, 3));

    private final HeldRequests held = new HeldRequests();
    private long nowMillis = 1_000;

    private long nowNanos() {
        return TimeUnit.MILLISECONDS.toNanos(nowMillis);
    }

    private int refusedAndGranted(String refusing, String asking) {
        held.refused(List.of(REQUEST), refusing, nowNanos());
        return held.takeGrants(asking, "leader", nowNanos(), nowMillis).size();
    }

    @Nested
    class Grants {
        @Test
        void goToTheGatewayThatRefusedOnceInEachSecondAndTwiceAtMost() {
            held.retain(HELD, nowNanos());
            assertEquals(0, refusedAndGranted("g1", "g1"));

            nowMillis += 1_000;
            assertEquals(0, refusedAndGranted("g1", "g2"));
            assertEquals(1, refusedAndGranted("g1", "g1"));
            assertEquals(0, refusedAndGranted("g1", "g1"));
            nowMillis += 1_000;
            assertEquals(1, refusedAndGranted("g2", "g2"));
            nowMillis += 60_000;
            assertEquals(0, refusedAndGranted("g2", "g2"));
        }

        @Test
        void endWhenTheRequestIsNoSuspectAnyMore() {
            held.retain(HELD, nowNanos());
            held.retain(List.of(), nowNanos());
            nowMillis += 1_000;

            assertEquals(0, refusedAndGranted("g1", "g1"));
        }

        @Test
        void areNotGivenForPartsOrFewCrashes() {
            held.retain(List.of(new TraitSuspect(REQUEST, 2), new TraitSuspect(66, 9)), nowNanos());
            nowMillis += 1_000;

            assertEquals(0, refusedAndGranted("g1", "g1"));
        }
    }
}
