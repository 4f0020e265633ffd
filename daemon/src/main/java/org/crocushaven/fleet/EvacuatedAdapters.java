package org.crocushaven.fleet;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Selects an adapter that only evacuated engines hold and that should be loaded on another one.
 *
 * <p>Answers the load that moves when a failure domain is evacuated: all its adapters would be
 * asked for elsewhere at once. The most requested comes first.
 */
final class EvacuatedAdapters {
    /** Recent requests from which on an adapter is loaded before it is asked for. */
    private static final double MINIMUM_POPULARITY = 0.5;

    private EvacuatedAdapters() {}

    /** Returns the request that the load is to serve; empty if no adapter needs one. */
    static Optional<AdapterRequest> next(
            Collection<PlannedEngine> engines, AdapterPopularity popularity, long nowNanos) {
        final Set<AdapterKey> heldElsewhere = new HashSet<>();
        for (final PlannedEngine engine : engines) {
            if (!engine.isEvacuated()) {
                heldElsewhere.addAll(engine.slots().all().keySet());
            }
        }
        AdapterRequest best = null;
        double bestPopularity = MINIMUM_POPULARITY;
        for (final PlannedEngine engine : engines) {
            for (final AdapterKey key : adaptersOf(engine)) {
                final double requested = popularity.of(key, nowNanos);
                if (requested >= bestPopularity && !heldElsewhere.contains(key)) {
                    bestPopularity = requested;
                    best =
                            AdapterRequest.of(
                                    engine.announcement().service(),
                                    key.model(),
                                    key.adapter(),
                                    List.of());
                }
            }
        }
        return Optional.ofNullable(best);
    }

    private static Set<AdapterKey> adaptersOf(PlannedEngine engine) {
        return engine.isEvacuated() ? engine.slots().all().keySet() : Set.of();
    }
}
