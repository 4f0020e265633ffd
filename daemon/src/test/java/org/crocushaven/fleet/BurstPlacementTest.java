package org.crocushaven.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.crocushaven.fuzz.FuzzSettings;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Load: 60 engines, a quarter of which turn four times as slow, while the traffic doubles and needs
 * more loads than the weight store carries.
 */
@Tag("fuzz")
class BurstPlacementTest {
    private static final int ENGINES = 60;
    private static final int FULL_SPEED_LOADS = 32;
    private static final double PER_SECOND = 350;
    private static final long SLOW_MILLIS = 8_000;
    private static final long BURST_MILLIS = 10_000;
    private static final long END_MILLIS = 18_000;
    private static final long AIM_MILLIS = 1_000;

    private static PlacementSimulation play(long seed, double lostAnswers) {
        final PlacementSimulation simulation =
                new PlacementSimulation(seed, ENGINES, FULL_SPEED_LOADS, lostAnswers);
        simulation.slowDown(0.25, 4, SLOW_MILLIS, SLOW_MILLIS + 8_000);
        simulation.play(1_000, 24_000, PER_SECOND);
        simulation.play(BURST_MILLIS, END_MILLIS, PER_SECOND);
        simulation.run(30_000);
        print(simulation);
        return simulation;
    }

    private static void print(PlacementSimulation simulation) {
        for (long from = 4_000; from < 24_000; from += 2_000) {
            final List<SimulatedAdapterRequest> asked =
                    simulation.arrivedWithin(from, from + 2_000);
            System.out.printf(
                    "from=%d asked=%d served=%.3f missing=%d ended_missing=%d mean_retry=%.0f%n",
                    from,
                    asked.size(),
                    PlacementSimulation.servedShare(asked, AIM_MILLIS),
                    asked.stream().mapToInt(SimulatedAdapterRequest::misses).sum(),
                    asked.stream().filter(SimulatedAdapterRequest::endedMissing).count(),
                    asked.stream()
                            .filter(request -> request.retryMillis() > 0)
                            .mapToLong(SimulatedAdapterRequest::retryMillis)
                            .average()
                            .orElse(0));
        }
        System.out.println(
                "conflicts="
                        + simulation.engines().stream().mapToInt(SimulatedEngine::conflicts).sum());
    }

    private static double missedShare(PlacementSimulation simulation) {
        return simulation.requests().stream().mapToInt(SimulatedAdapterRequest::misses).sum()
                / (double)
                        simulation.requests().stream()
                                .mapToInt(SimulatedAdapterRequest::arrivals)
                                .sum();
    }

    private static long endedMissing(PlacementSimulation simulation) {
        return simulation.requests().stream().filter(SimulatedAdapterRequest::endedMissing).count();
    }

    @Nested
    class WithoutFaults {
        @Test
        void fewRequestsMeetAnEngineWithoutTheirAdapter() {
            FuzzSettings.forEachCase(
                    "burst-placement",
                    2,
                    seed -> {
                        final PlacementSimulation simulation = play(seed, 0);

                        assertTrue(missedShare(simulation) < 0.02, "" + missedShare(simulation));
                        assertTrue(endedMissing(simulation) < 50, "" + endedMissing(simulation));
                    });
        }
    }

    @Nested
    class WithLostAnswers {
        @Test
        void noEngineIsOrderedToHoldMoreThanItHasSlotsFor() {
            FuzzSettings.forEachCase(
                    "burst-placement-lost",
                    2,
                    seed -> {
                        final PlacementSimulation simulation = play(seed, 0.02);

                        assertEquals(
                                0,
                                simulation.engines().stream()
                                        .filter(SimulatedEngine::wasOverfull)
                                        .count());
                    });
        }
    }
}
