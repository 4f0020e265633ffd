package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.crocushaven.ingress.IngressRoute;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SilenceLimitsTest {
    private static final long LONG_MILLIS = 12_000;

    private static IngressRoute route(long objectiveMillis, long pauseMillis) {
        return ChatRouteBuilder.to("engines")
                .timeoutMillis(LONG_MILLIS)
                .objectives(objectiveMillis, pauseMillis)
                .attempts(2)
                .resumable(true)
                .build();
    }

    @Test
    void limitBeforeTheFirstEventFollowsTheObjective() {
        assertEquals(900, SilenceLimits.beforeAnswerMillis(route(600, 300)));
    }

    @Nested
    class WithinStreams {
        @Test
        void pauseOfOneSecondIsBelowTheLimit() {
            assertTrue(SilenceLimits.withinStreamMillis(route(600, 250), LONG_MILLIS) > 1_000);
        }

        @Test
        void replacementHasTimeBeforeTheClientAbandonsTheStream() {
            final long abandonedMillis = 2_400;

            assertTrue(
                    SilenceLimits.withinStreamMillis(route(600, 300), LONG_MILLIS)
                            <= abandonedMillis - 900);
        }

        @Test
        void halfOfShortRemainingTimeIsTheLimit() {
            assertEquals(1_100, SilenceLimits.withinStreamMillis(route(800, 250), 2_200));
        }

        @Test
        void limitIsNeverBelowThreePauses() {
            assertEquals(900, SilenceLimits.withinStreamMillis(route(600, 300), 0));
        }
    }
}
