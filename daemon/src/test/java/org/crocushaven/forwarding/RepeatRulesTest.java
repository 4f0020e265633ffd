package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.crocushaven.fleet.AdapterKey;
import org.crocushaven.fleet.BackendRecord;
import org.crocushaven.fleet.BackendState;
import org.crocushaven.ingress.IngressRoute;
import org.crocushaven.ingress.RouteKind;
import org.crocushaven.ingress.WeightedService;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RepeatRulesTest {
    private static final int MISDIRECTED = 421;
    private static final int UNAVAILABLE = 503;
    private static final int TOO_MANY_REQUESTS = 429;

    private final RepeatRules rules = new RepeatRules();

    private static IngressRoute route(RouteKind kind, boolean resumable, int attempts) {
        return new IngressRoute(
                "route",
                "host.example",
                "/path/",
                kind,
                1_000,
                100,
                100,
                0,
                List.of(new WeightedService("service", 1)),
                attempts,
                false,
                resumable);
    }

    private static Target target(boolean fresh) {
        return new Target(
                new BackendRecord(
                        "one",
                        "service",
                        "10.0.0.1",
                        1,
                        "zone",
                        BackendState.READY,
                        false,
                        8,
                        List.of()),
                new AdapterKey("base", "a1"),
                0,
                fresh);
    }

    @Nested
    class AnotherBackendServer {
        @Test
        void isTriedAfterRefusalWhateverTheKind() {
            rules.sent("one");

            assertTrue(
                    rules.mayTryAnother(route(RouteKind.NON_IDEMPOTENT, false, 2), false, false));
        }

        @Test
        void isNotTriedWhereTheRequestMayHaveRunAndMayRunOnceOnly() {
            rules.sent("one");
            rules.mayHaveRun(true);

            assertFalse(
                    rules.mayTryAnother(route(RouteKind.NON_IDEMPOTENT, false, 2), false, false));
            assertTrue(rules.mayTryAnother(route(RouteKind.IDEMPOTENT, false, 2), false, false));
        }

        @Test
        void isNotTriedBeyondTheRoutesAttempts() {
            rules.sent("one");
            rules.sent("two");

            assertFalse(rules.mayTryAnother(route(RouteKind.IDEMPOTENT, false, 2), false, false));
        }

        @Test
        void oneThatWasNeverReachedDoesNotCount() {
            rules.sent("one");
            rules.neverReached("one");

            assertTrue(
                    rules.mayTryAnother(route(RouteKind.NON_IDEMPOTENT, false, 1), false, false));
            assertEquals(Set.of("one"), rules.avoided());
        }

        @Test
        void goesOnWithStreamOnlyAfterAnEventThatItCanName() {
            rules.sent("one");
            rules.mayHaveRun(true);

            assertFalse(rules.mayTryAnother(route(RouteKind.STREAM, true, 2), true, false));
            assertTrue(rules.mayTryAnother(route(RouteKind.STREAM, true, 2), true, true));
        }
    }

    @Nested
    class AdaptersThatComeLate {
        @Test
        void areAwaitedThreeTimesWhetherTheEngineKnowsThemOrNot() {
            assertTrue(rules.awaitsAdapter(target(true), MISDIRECTED));
            assertTrue(rules.awaitsAdapter(target(true), UNAVAILABLE));
            assertTrue(rules.awaitsAdapter(target(true), MISDIRECTED));
            assertFalse(rules.awaitsAdapter(target(true), UNAVAILABLE));
        }

        @Test
        void areNotAwaitedWhereNoneWasOrderedOrTheEngineIsFull() {
            assertFalse(rules.awaitsAdapter(target(false), UNAVAILABLE));
            assertFalse(rules.awaitsAdapter(target(true), TOO_MANY_REQUESTS));
        }
    }
}
