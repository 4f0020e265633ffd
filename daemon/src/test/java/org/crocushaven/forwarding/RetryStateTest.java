package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.crocushaven.fleet.AdapterKey;
import org.crocushaven.ingress.IngressRoute;
import org.crocushaven.ingress.RouteKind;
import org.crocushaven.ingress.WeightedService;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RetryStateTest {
    private static final int MISDIRECTED = 421;
    private static final int UNAVAILABLE = 503;
    private static final int TOO_MANY_REQUESTS = 429;

    private final RetryState retries = new RetryState();

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
                resumable,
                List.of());
    }

    private static Target target(boolean adapterPending) {
        return new Target(
                BackendRecordBuilder.of("one", "service").inDomain("zone").withSlots(8).build(),
                new AdapterKey("base", "a1"),
                0,
                adapterPending);
    }

    @Nested
    class AnotherBackendServer {
        @Test
        void isTriedForAnyRouteKindWhenRequestDidNotRun() {
            retries.recordSend("one");

            assertTrue(
                    retries.mayTryAnother(
                            route(RouteKind.NON_IDEMPOTENT, false, 2), 2, false, false));
        }

        @Test
        void isNotTriedForNonIdempotentRequestThatMayHaveRun() {
            retries.recordSend("one");
            retries.recordMayHaveRun(true);

            assertFalse(
                    retries.mayTryAnother(
                            route(RouteKind.NON_IDEMPOTENT, false, 2), 2, false, false));
            assertTrue(
                    retries.mayTryAnother(route(RouteKind.IDEMPOTENT, false, 2), 2, false, false));
        }

        @Test
        void isNotTriedBeyondMaximumAttempts() {
            retries.recordSend("one");
            retries.recordSend("two");

            assertFalse(
                    retries.mayTryAnother(route(RouteKind.IDEMPOTENT, false, 2), 2, false, false));
        }

        @Test
        void isTriedWhenEarlierOneWasNeverReached() {
            retries.recordSend("one");
            retries.recordNeverReached("one");

            assertTrue(
                    retries.mayTryAnother(
                            route(RouteKind.NON_IDEMPOTENT, false, 1), 1, false, false));
            assertEquals(Set.of("one"), retries.excluded());
        }

        @Test
        void resumesStreamOnlyAfterIdentifiedEvent() {
            retries.recordSend("one");
            retries.recordMayHaveRun(true);

            assertFalse(retries.mayTryAnother(route(RouteKind.STREAM, true, 2), 2, true, false));
            assertTrue(retries.mayTryAnother(route(RouteKind.STREAM, true, 2), 2, true, true));
        }
    }

    @Nested
    class LateAdapter {
        @Test
        void isAwaitedThreeTimesForAnyRefusal() {
            assertTrue(retries.tryWaitForAdapter(target(true), MISDIRECTED));
            assertTrue(retries.tryWaitForAdapter(target(true), UNAVAILABLE));
            assertTrue(retries.tryWaitForAdapter(target(true), MISDIRECTED));
            assertFalse(retries.tryWaitForAdapter(target(true), UNAVAILABLE));
        }

        @Test
        void isNotAwaitedWhenNotPendingOrEngineIsFull() {
            assertFalse(retries.tryWaitForAdapter(target(false), UNAVAILABLE));
            assertFalse(retries.tryWaitForAdapter(target(true), TOO_MANY_REQUESTS));
        }
    }
}
