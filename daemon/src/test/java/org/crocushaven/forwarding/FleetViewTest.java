package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.crocushaven.fleet.AdapterKey;
import org.crocushaven.fleet.AdapterVersion;
import org.crocushaven.fleet.BackendLoad;
import org.crocushaven.fleet.BackendRecord;
import org.crocushaven.fleet.BackendState;
import org.crocushaven.fleet.GatewayUpdate;
import org.crocushaven.fleet.HeldAdapter;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FleetViewTest {
    private static final AdapterKey KEY = new AdapterKey("base", "a1");
    private static final long HALF_LIFE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long READY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private final FleetView view = new FleetView();

    private static BackendRecord engine(String name, HeldAdapter... held) {
        return new BackendRecord(
                name,
                "engines",
                "10.0.0.1",
                1,
                "zone",
                BackendState.READY,
                false,
                8,
                List.of(held));
    }

    private static HeldAdapter adapter(long version) {
        return new HeldAdapter("base", "a1", version);
    }

    private void told(long nowNanos, BackendRecord... changed) {
        told(nowNanos, List.of(), List.of(changed), List.of());
    }

    private void told(
            long nowNanos,
            List<AdapterVersion> versions,
            List<BackendRecord> changed,
            List<String> gone) {
        told(nowNanos, versions, changed, gone, List.of());
    }

    private void told(
            long nowNanos,
            List<AdapterVersion> versions,
            List<BackendRecord> changed,
            List<String> gone,
            List<BackendLoad> otherLoads) {
        view.apply(
                new GatewayUpdate(
                        1,
                        1,
                        false,
                        1,
                        1,
                        new byte[0],
                        versions,
                        !versions.isEmpty(),
                        changed,
                        gone,
                        otherLoads,
                        1,
                        List.of(),
                        Optional.empty()),
                nowNanos);
    }

    private void othersSent(String backend, long promptTokens) {
        told(
                0,
                List.of(),
                List.of(),
                List.of(),
                List.of(new BackendLoad(backend, 1, promptTokens)));
    }

    private List<String> holdersAt(long nowNanos) {
        return view.holdersOf("engines", KEY, nowNanos).stream()
                .map(BackendRecord::backend)
                .toList();
    }

    @Nested
    class AdaptersOnTheirWay {
        @Test
        void areNotHeldBeforeTheirTime() {
            told(0, engine("one"));
            view.learn("one", KEY, 0, READY_NANOS);

            assertEquals(List.of(), holdersAt(READY_NANOS - 1));
            assertEquals(List.of("one"), holdersAt(READY_NANOS));
        }

        @Test
        void areFoundWithTheTimeThatIsLeft() {
            told(0, engine("one"), engine("two"));
            view.learn("one", KEY, 0, READY_NANOS);
            view.learn("two", KEY, 0, READY_NANOS / 2);

            final FleetView.Arrival first = view.firstArrival("engines", KEY, 10).orElseThrow();

            assertEquals("two", first.backend().backend());
            assertEquals(READY_NANOS / 2 - 10, first.waitNanos());
        }

        @Test
        void stayOnTheirWayWhenTheLeaderTellsOfTheEngine() {
            told(0, engine("one"));
            view.learn("one", KEY, 0, READY_NANOS);

            told(5, engine("one"));

            assertTrue(view.firstArrival("engines", KEY, 10).isPresent());
        }

        @Test
        void endWithTheirEngine() {
            told(0, engine("one"));
            view.learn("one", KEY, 0, READY_NANOS);

            told(5, List.of(), List.of(), List.of("one"));

            assertTrue(view.firstArrival("engines", KEY, 10).isEmpty());
        }
    }

    @Nested
    class AdaptersHeld {
        @Test
        void areThoseThatTheLeaderToldLast() {
            told(0, engine("one", adapter(0)), engine("two", adapter(0)));

            told(5, engine("one"));

            assertEquals(List.of("two"), holdersAt(10));
        }

        @Test
        void countOnlyInTheVersionNamed() {
            told(0, engine("one", adapter(1)), engine("two", adapter(2)));

            told(5, List.of(new AdapterVersion("base", "a1", 2)), List.of(), List.of());

            assertEquals(List.of("two"), holdersAt(10));
        }

        @Test
        void areForgottenWhenTheEngineRefused() {
            told(0, engine("one", adapter(0)));

            view.forget("one", KEY);

            assertEquals(List.of(), holdersAt(10));
        }
    }

    @Nested
    class Prompts {
        @Test
        void ofThisGatewayAndOthersCountTogetherAndFadeAway() {
            told(0, engine("one"));
            view.promptSent("one", 1_000, 0);
            othersSent("one", 500);

            assertEquals(1_500, view.promptTokensAt("one", 0), 0.1);
            assertEquals(750, view.promptTokensAt("one", HALF_LIFE_NANOS), 0.1);
            assertEquals(0, view.promptTokensAt("two", 0), 0.1);
        }

        @Test
        void areToldOfWhileTheyAreNotable() {
            told(0, engine("one"));
            view.started("one", KEY);
            view.promptSent("one", 1_000, 0);

            assertTrue(view.hasNewPrompts(0));
            assertFalse(view.hasNewPrompts(10 * HALF_LIFE_NANOS));
            assertEquals(List.of(new BackendLoad("one", 1, 500)), view.ownLoads(HALF_LIFE_NANOS));
        }
    }
}
