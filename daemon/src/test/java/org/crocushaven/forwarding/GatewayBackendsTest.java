package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.crocushaven.coldstart.ColdGrant;
import org.crocushaven.fleet.AdapterKey;
import org.crocushaven.fleet.AdapterVersion;
import org.crocushaven.fleet.BackendLoad;
import org.crocushaven.fleet.BackendRecord;
import org.crocushaven.fleet.HeldAdapter;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class GatewayBackendsTest {
    private static final AdapterKey KEY = new AdapterKey("base", "a1");
    private static final long HALF_LIFE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long READY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private final GatewayBackends view = new GatewayBackends(new Random(1));

    private static BackendRecord engine(String name, HeldAdapter... held) {
        return BackendRecordBuilder.of(name, "engines")
                .inDomain("zone")
                .withSlots(8)
                .holding(held)
                .build();
    }

    private static HeldAdapter adapter(long version) {
        return new HeldAdapter("base", "a1", version);
    }

    private void update(long nowNanos, BackendRecord... changed) {
        update(nowNanos, List.of(), List.of(changed), List.of());
    }

    private void update(
            long nowNanos,
            List<AdapterVersion> versions,
            List<BackendRecord> changed,
            List<String> gone) {
        update(nowNanos, versions, changed, gone, List.of());
    }

    private void update(
            long nowNanos,
            List<AdapterVersion> versions,
            List<BackendRecord> changed,
            List<String> gone,
            List<BackendLoad> otherLoads) {
        view.apply(
                GatewayUpdateBuilder.ofTerm(1)
                        .changed(changed)
                        .state(1, !versions.isEmpty())
                        .adapterVersions(versions)
                        .gone(gone)
                        .otherLoads(otherLoads)
                        .build(),
                nowNanos,
                nowNanos);
    }

    private void otherGatewaysSent(String backend, long promptTokens) {
        update(
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
    class LoadingAdapters {
        @Test
        void areNotHeldBeforeExpectedTime() {
            update(0, engine("one"));
            view.addHolder("one", KEY, 0, READY_NANOS);

            assertEquals(List.of(), holdersAt(READY_NANOS - 1));
            assertEquals(List.of("one"), holdersAt(READY_NANOS));
        }

        @Test
        void earliestIsFoundWithRemainingTime() {
            update(0, engine("one"), engine("two"));
            view.addHolder("one", KEY, 0, READY_NANOS);
            view.addHolder("two", KEY, 0, READY_NANOS / 2);

            final GatewayBackends.ExpectedHolder first =
                    view.earliestHolder("engines", KEY, backend -> true, 10).orElseThrow();

            assertEquals("two", first.backend().backend());
            assertEquals(READY_NANOS / 2 - 10, first.waitNanos());
        }

        @Test
        void areKeptWhenLeaderUpdatesEngine() {
            update(0, engine("one"));
            view.addHolder("one", KEY, 0, READY_NANOS);

            update(5, engine("one"));

            assertTrue(view.earliestHolder("engines", KEY, backend -> true, 10).isPresent());
        }

        @Test
        void areRemovedWithTheirEngine() {
            update(0, engine("one"));
            view.addHolder("one", KEY, 0, READY_NANOS);

            update(5, List.of(), List.of(), List.of("one"));

            assertTrue(view.earliestHolder("engines", KEY, backend -> true, 10).isEmpty());
        }
    }

    @Nested
    class HeldAdapters {
        @Test
        void matchLastUpdateOfLeader() {
            update(0, engine("one", adapter(0)), engine("two", adapter(0)));

            update(5, engine("one"));

            assertEquals(List.of("two"), holdersAt(10));
        }

        @Test
        void areIgnoredInOlderVersions() {
            update(0, engine("one", adapter(1)), engine("two", adapter(2)));

            update(5, List.of(new AdapterVersion("base", "a1", 2)), List.of(), List.of());

            assertEquals(List.of("two"), holdersAt(10));
        }

        @Test
        void areAbsentAfterRemoval() {
            update(0, engine("one", adapter(0)));

            view.removeHolder("one", KEY);

            assertEquals(List.of(), holdersAt(10));
        }
    }

    @Nested
    class Prompts {
        @Test
        void unreadTokensOfAllGatewaysAreSummedAndDecay() {
            update(0, engine("one"));
            view.loads().recordPrompt("one", 1_000, 0);
            otherGatewaysSent("one", 500);

            assertEquals(1_500, view.loads().promptTokensAt("one", 0), 0.1);
            assertEquals(750, view.loads().promptTokensAt("one", HALF_LIFE_NANOS), 0.1);
            assertEquals(0, view.loads().promptTokensAt("two", 0), 0.1);
        }

        @Test
        void areReportableUntilDecayed() {
            update(0, engine("one"));
            view.requestStarted("one", KEY);
            view.loads().recordPrompt("one", 1_000, 0);

            assertTrue(view.loads().hasReportablePrompts(0));
            assertFalse(view.loads().hasReportablePrompts(10 * HALF_LIFE_NANOS));
            assertEquals(
                    List.of(new BackendLoad("one", 1, 500)),
                    view.loads().ownLoads(HALF_LIFE_NANOS));
        }
    }

    @Nested
    class EvacuatedDomains {
        private void evacuate(String... domains) {
            view.apply(
                    GatewayUpdateBuilder.ofTerm(1)
                            .changed(List.of(engine("one", adapter(1))))
                            .evacuated(domains)
                            .build(),
                    0,
                    0);
        }

        @Test
        void getNothingMore() {
            evacuate("zone");

            assertEquals(List.of(), holdersAt(0));
            assertEquals(List.of(), view.ofService("engines", 0));
            assertFalse(view.trySend(view.find("one").orElseThrow(), 0));
        }

        @Test
        void areNotWaitedFor() {
            evacuate("zone");

            assertTrue(view.pauseOf("engines", 0).isEmpty());
        }

        @Test
        void ofAnotherNameChangeNothing() {
            evacuate("other");

            assertEquals(List.of("one"), holdersAt(0));
        }

        @Test
        void returnWithTheNextUpdate() {
            evacuate("zone");
            evacuate();

            assertTrue(view.trySend(view.find("one").orElseThrow(), 0));
        }
    }

    @Nested
    class ColdBackendServers {
        private void cold(int granted) {
            view.apply(
                    GatewayUpdateBuilder.ofTerm(1)
                            .changed(List.of(engine("one", adapter(1))))
                            .coldStarts(
                                    new ColdGrant(
                                            "one", engine("one").startedMillis(), 1_000, granted))
                            .build(),
                    0,
                    0);
        }

        @Test
        void getWhatWasGranted() {
            cold(1);

            assertEquals(List.of("one"), holdersAt(0));
            assertTrue(view.trySend(view.find("one").orElseThrow(), 0));
            assertFalse(view.trySend(view.find("one").orElseThrow(), 0));
            assertEquals(List.of(), holdersAt(0));
        }

        @Test
        void makeRequestsComeBackIfThereAreNoOthers() {
            cold(0);

            assertTrue(view.pauseOf("engines", 0).isPresent());
        }

        @Test
        void areAskedForIfRequestsCouldGoThere() {
            cold(0);

            view.recordWantedOfCold("engines", new Random(1), 0);

            assertEquals(1, view.cold().report(0).get(0).wanted());
        }
    }
}
