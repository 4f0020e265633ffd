package org.crocushaven.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Selects an adapter of an overloaded engine that should also be loaded on a second engine.
 *
 * <p>Handles load in which few adapters get most requests: each adapter is on one engine after its
 * first use. If several of them share an engine, its prompts queue up and all its streams pause
 * while other engines are nearly idle.
 */
final class AdapterSpread {
    /** Fraction of the mean load by which an engine must exceed the mean to count as overloaded. */
    private static final double EXCESS_RATIO = 0.25;

    /**
     * Number of requests by which an overloaded engine must exceed the mean as well, so that random
     * variation causes no adapter loads.
     */
    private static final double EXCESS_REQUESTS = 3;

    /**
     * Minimum number of running requests for an adapter on the busy engine that justifies a load.
     */
    private static final int MINIMUM_RUNNING = 2;

    private AdapterSpread() {}

    /**
     * Returns an adapter of the busiest engine and the engine that should also load it; empty if no
     * engine is overloaded or none can take an adapter.
     *
     * @param engines all engines of one service
     */
    static Optional<Copy> next(Collection<PlannedEngine> engines, long nowNanos) {
        final List<PlannedEngine> ready = new ArrayList<>();
        for (final PlannedEngine engine : engines) {
            if (!engine.isEvacuated()
                    && engine.announcement().state() == BackendState.READY
                    && !engine.slots().holdsNoModel()) {
                ready.add(engine);
            }
        }
        final double mean = ready.stream().mapToDouble(PlannedEngine::load).average().orElse(0);
        return ready.stream()
                .filter(engine -> isOverloaded(engine, mean))
                .max(Comparator.comparingDouble(PlannedEngine::load))
                .flatMap(busiest -> copyFrom(busiest, ready, mean, nowNanos));
    }

    private static boolean isOverloaded(PlannedEngine engine, double mean) {
        final double excess = engine.load() - mean;
        return excess > mean * EXCESS_RATIO
                && excess * engine.announcement().requestSlots() > EXCESS_REQUESTS;
    }

    private static Optional<Copy> copyFrom(
            PlannedEngine busiest, List<PlannedEngine> engines, double mean, long nowNanos) {
        final List<Map.Entry<AdapterKey, EngineSlots.Slot>> candidates =
                new ArrayList<>(busiest.slots().all().entrySet());
        candidates.removeIf(entry -> entry.getValue().running() < MINIMUM_RUNNING);
        candidates.sort(
                Comparator.comparingInt(
                        (Map.Entry<AdapterKey, EngineSlots.Slot> entry) ->
                                -entry.getValue().running()));
        for (final Map.Entry<AdapterKey, EngineSlots.Slot> entry : candidates) {
            final Optional<PlannedEngine> target =
                    target(busiest, entry.getKey(), engines, mean, nowNanos);
            if (target.isPresent()) {
                return Optional.of(
                        new Copy(entry.getKey(), entry.getValue().version(), target.get()));
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the least loaded engine below the mean; empty if an engine below the mean already
     * holds the adapter, since that one has capacity for the requests.
     */
    private static Optional<PlannedEngine> target(
            PlannedEngine busiest,
            AdapterKey key,
            List<PlannedEngine> engines,
            double mean,
            long nowNanos) {
        PlannedEngine leastLoaded = null;
        for (final PlannedEngine engine : engines) {
            if (engine == busiest || engine.load() >= mean) {
                continue;
            }
            if (engine.slots().find(key).isPresent()) {
                return Optional.empty();
            }
            final boolean isEligible =
                    engine.serves(busiest.announcement().service(), key.model())
                            && engine.acceptsLoads(nowNanos);
            if (isEligible && (leastLoaded == null || engine.load() < leastLoaded.load())) {
                leastLoaded = engine;
            }
        }
        return Optional.ofNullable(leastLoaded);
    }

    /**
     * An adapter that is to be loaded on a second engine.
     *
     * @param key the adapter
     * @param version the version that the busy engine holds
     * @param target the engine that should also load it
     */
    record Copy(AdapterKey key, long version, PlannedEngine target) {}
}
