package org.crocushaven.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.crocushaven.ingress.BaseModel;
import org.crocushaven.ingress.EngineProfile;
import org.junit.jupiter.api.Test;

class AdapterSpreadTest {
    private static final String MODEL = "base";
    private static final EngineProfile PROFILE =
            new EngineProfile(
                    64, 100_000, 100, 8, 1, List.of(new BaseModel(MODEL, 90, 1_000, 100, 1)));

    private final List<PlannedEngine> engines = new ArrayList<>();
    private final long nowNanos = TimeUnit.SECONDS.toNanos(100);

    private PlannedEngine engine(String backend, int requests, String... adapters) {
        final List<HeldAdapter> held = new ArrayList<>();
        held.add(new HeldAdapter(MODEL, "", 1));
        for (final String adapter : adapters) {
            held.add(new HeldAdapter(MODEL, adapter, 1));
        }
        final PlannedEngine engine =
                new PlannedEngine(
                        new BackendAnnouncement(
                                backend,
                                "service",
                                backend,
                                1,
                                "a",
                                BackendState.READY,
                                64,
                                1,
                                1,
                                true,
                                held,
                                "",
                                0),
                        PROFILE);
        engine.slots().announced(held, nowNanos);
        engine.slots()
                .reported(
                        new EngineReport(false, 0, 0, 0, held.subList(1, held.size()), List.of()),
                        nowNanos);
        engine.setRequests(requests);
        engines.add(engine);
        return engine;
    }

    private void runRequests(PlannedEngine engine, String adapter, int requests) {
        engine.slots()
                .find(new AdapterKey(MODEL, adapter))
                .orElseThrow()
                .setRunning(requests, nowNanos);
    }

    private Optional<AdapterSpread.Copy> next() {
        return AdapterSpread.next(engines, nowNanos);
    }

    @Test
    void theMostUsedAdapterOfTheBusiestEngineIsCopiedToTheLeastLoaded() {
        final PlannedEngine busy = engine("busy", 40, "a1", "a2");
        runRequests(busy, "a1", 10);
        runRequests(busy, "a2", 25);
        engine("middle", 15);
        engine("idle", 5);

        final AdapterSpread.Copy copy = next().orElseThrow();

        assertEquals(new AdapterKey(MODEL, "a2"), copy.key());
        assertEquals("idle", copy.target().backend());
    }

    @Test
    void evenlyLoadedEnginesGetNoCopy() {
        runRequests(engine("one", 20, "a1"), "a1", 20);
        engine("two", 18);
        engine("three", 19);

        assertTrue(next().isEmpty());
    }

    @Test
    void fewRequestsCauseNoCopy() {
        runRequests(engine("one", 3, "a1"), "a1", 3);
        engine("two", 0);

        assertTrue(next().isEmpty());
    }

    @Test
    void anAdapterOnAnotherEngineBelowTheMeanIsNotCopied() {
        runRequests(engine("busy", 40, "a1"), "a1", 40);
        engine("holder", 5, "a1");
        engine("idle", 0);

        assertTrue(next().isEmpty());
    }

    @Test
    void anAdapterWithOneRunningRequestIsNotCopied() {
        runRequests(engine("busy", 40, "a1"), "a1", 1);
        engine("idle", 0);

        assertTrue(next().isEmpty());
    }
}
