package org.crocushaven.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which adapter should be on a second engine, so that a busy engine gets relief.
 *
 * <p>Answers the load of few adapters that get most requests: each has one place after its first
 * use, and where several of them share an engine its prompts crowd and all its streams pause, while
 * other engines have little to do.
 */
final class AdapterSpread {
    /** Part of the mean load by which an engine must exceed it to get relief. */
    private static final double EXCESS_RATIO = 0.25;

    /** Requests by which it must exceed the mean besides, so that chance does not move adapters. */
    private static final double EXCESS_REQUESTS = 3;

    /** Requests of one adapter under way on the busy engine that are worth a load. */
    private static final int LEAST_RUNNING = 2;

    private AdapterSpread() {}

    /**
     * Returns an adapter of the busiest engine and the engine that should hold it too.
     *
     * @param engines all engines of one service
     */
    static Optional<Move> next(Collection<PlannedEngine> engines, long nowNanos) {
        final List<PlannedEngine> ready = new ArrayList<>();
        for (final PlannedEngine engine : engines) {
            if (engine.announcement().state() == BackendState.READY && !engine.slots().isEmpty()) {
                ready.add(engine);
            }
        }
        final double mean = ready.stream().mapToDouble(PlannedEngine::load).average().orElse(0);
        return ready.stream()
                .filter(engine -> isCrowded(engine, mean))
                .max(Comparator.comparingDouble(PlannedEngine::load))
                .flatMap(busiest -> relief(busiest, ready, mean, nowNanos));
    }

    private static boolean isCrowded(PlannedEngine engine, double mean) {
        final double excess = engine.load() - mean;
        return excess > mean * EXCESS_RATIO
                && excess * engine.announcement().slots() > EXCESS_REQUESTS;
    }

    private static Optional<Move> relief(
            PlannedEngine busiest, List<PlannedEngine> engines, double mean, long nowNanos) {
        final List<Map.Entry<AdapterKey, EngineSlots.Slot>> wanted =
                new ArrayList<>(busiest.slots().all().entrySet());
        wanted.removeIf(entry -> entry.getValue().running() < LEAST_RUNNING);
        wanted.sort(
                Comparator.comparingInt(
                        (Map.Entry<AdapterKey, EngineSlots.Slot> entry) ->
                                -entry.getValue().running()));
        for (final Map.Entry<AdapterKey, EngineSlots.Slot> entry : wanted) {
            final Optional<PlannedEngine> target =
                    target(busiest, entry.getKey(), engines, mean, nowNanos);
            if (target.isPresent()) {
                return Optional.of(
                        new Move(entry.getKey(), entry.getValue().version(), target.get()));
            }
        }
        return Optional.empty();
    }

    /** Returns the idlest engine below the mean; none while a holder has room for the requests. */
    private static Optional<PlannedEngine> target(
            PlannedEngine busiest,
            AdapterKey key,
            List<PlannedEngine> engines,
            double mean,
            long nowNanos) {
        PlannedEngine idlest = null;
        for (final PlannedEngine engine : engines) {
            if (engine == busiest || engine.load() >= mean) {
                continue;
            }
            if (engine.slots().find(key).isPresent()) {
                return Optional.empty();
            }
            final boolean possible =
                    engine.serves(busiest.announcement().service(), key.model())
                            && engine.takesOrders(nowNanos);
            if (possible && (idlest == null || engine.load() < idlest.load())) {
                idlest = engine;
            }
        }
        return Optional.ofNullable(idlest);
    }

    /**
     * A load that gives relief.
     *
     * @param key the adapter
     * @param version the version that the busy engine holds
     * @param target the engine that should hold it too
     */
    record Move(AdapterKey key, long version, PlannedEngine target) {}
}
