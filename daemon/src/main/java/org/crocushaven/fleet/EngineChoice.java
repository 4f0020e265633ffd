package org.crocushaven.fleet;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Decides on which engine an adapter is used or loaded.
 *
 * <p>Handles load that shifts between many adapters while engines have few adapter slots: an
 * adapter goes to the engine with the least work that has a free slot, or whose least requested
 * idle adapter can be evicted. Not thread-safe.
 */
final class EngineChoice {
    /**
     * Cost of each adapter that is being loaded; an engine with all request slots in use costs 1.
     */
    private static final double LOADING_WEIGHT = 0.15;

    /**
     * Cost of each recent order that failed: a lost engine has no work, and would attract all
     * loads.
     */
    private static final double FAILED_ORDER_WEIGHT = 0.5;

    /** Cost of replacing an older version, which requests may still be on their way to. */
    private static final double REPLACEMENT_WEIGHT = 0.15;

    /** Cost per recent request for the adapter that would be evicted. */
    private static final double EVICTION_WEIGHT = 0.05;

    /** Cost reduction for an adapter that the engine has in its own memory. */
    private static final double CACHED_COST_REDUCTION = 0.5;

    /** Load time from the engine's own memory, about a tenth of the usual load time. */
    private static final long CACHED_LOAD_MILLIS = 30;

    /** Wait for an adapter that costs 1, as much as an engine with all request slots in use. */
    private static final double FULL_COST_WAIT_NANOS = 250e6;

    private final Map<String, PlannedEngine> engines;
    private final EvictionChoice eviction;
    private final AdapterPopularity popularity;
    private final StoreLoads storeLoads;

    /**
     * Creates the choice.
     *
     * @param engines all engines, updated by the caller
     * @param popularity recent requests by adapter, updated by the caller
     * @param storeLoads loads from the weight store, updated by the caller
     */
    EngineChoice(
            Map<String, PlannedEngine> engines,
            EvictionChoice eviction,
            AdapterPopularity popularity,
            StoreLoads storeLoads) {
        this.engines = engines;
        this.eviction = eviction;
        this.popularity = popularity;
        this.storeLoads = storeLoads;
    }

    /**
     * Returns where an adapter is or will be; empty if no engine with free slots has it.
     *
     * @param version version that is required, or an older one
     */
    Optional<AdapterPlacement> existing(AdapterRequest request, long version, long nowNanos) {
        final AdapterKey key = request.key();
        AdapterPlacement best = null;
        double bestCost = Double.MAX_VALUE;
        for (final PlannedEngine engine : engines.values()) {
            final Optional<EngineSlots.Slot> slot = engine.slots().find(key);
            final boolean usable =
                    isCandidate(engine, request)
                            && slot.isPresent()
                            && !slot.get().isUnloading()
                            && !slot.get().isMissing()
                            && slot.get().version() >= version;
            if (!usable || engine.load() >= 1) {
                continue;
            }
            final long wait = Math.max(0, slot.get().readyNanos() - nowNanos);
            final double cost = engine.load() + wait / FULL_COST_WAIT_NANOS;
            if (cost < bestCost) {
                bestCost = cost;
                best =
                        new AdapterPlacement(
                                engine.backend(),
                                key,
                                slot.get().version(),
                                Optional.empty(),
                                false,
                                true,
                                TimeUnit.NANOSECONDS.toMillis(wait));
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns where an adapter is to be loaded; empty if no engine can take it now. An engine that
     * holds an older version replaces it, once that is not in use; both take up a slot meanwhile.
     *
     * @param version version that is required; 0 for the newest
     * @param storeHasRoom whether the weight store can load it; otherwise only an engine that has
     *     it in its own memory can
     */
    Optional<AdapterPlacement> load(
            AdapterRequest request, long version, boolean storeHasRoom, long nowNanos) {
        final AdapterKey key = request.key();
        AdapterPlacement best = null;
        double bestCost = Double.MAX_VALUE;
        for (final PlannedEngine engine : engines.values()) {
            if (!isCandidate(engine, request)
                    || !engine.acceptsLoads(nowNanos)
                    || engine.slots()
                            .find(key)
                            .filter(slot -> !slot.isOutdated(version))
                            .isPresent()) {
                continue;
            }
            final boolean replaces = engine.slots().find(key).isPresent();
            final boolean cached = engine.slots().isCached(key) && version == 0;
            if (!cached && !storeHasRoom) {
                continue;
            }
            final boolean hasSlot = engine.hasFreeSlot();
            final Optional<AdapterKey> evicted =
                    hasSlot || replaces ? Optional.empty() : eviction.from(engine, nowNanos);
            if (!hasSlot && evicted.isEmpty()) {
                continue;
            }
            final double cost =
                    engine.load()
                            - (cached ? CACHED_COST_REDUCTION : 0)
                            + (replaces ? REPLACEMENT_WEIGHT : 0)
                            + LOADING_WEIGHT * engine.slots().loadingCount(nowNanos)
                            + FAILED_ORDER_WEIGHT * engine.failedOrders(nowNanos)
                            + EVICTION_WEIGHT
                                    * evicted.map(candidate -> popularity.of(candidate, nowNanos))
                                            .orElse(0.0);
            if (cost < bestCost) {
                bestCost = cost;
                best =
                        new AdapterPlacement(
                                engine.backend(),
                                key,
                                version,
                                evicted,
                                true,
                                cached,
                                loadMillis(cached));
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns the load of an adapter on a second engine; empty if it would evict one that is
     * requested half as often or more.
     */
    Optional<AdapterPlacement> copy(AdapterSpread.Copy copy, long version, long nowNanos) {
        final PlannedEngine target = copy.target();
        final Optional<AdapterKey> evicted =
                target.hasFreeSlot() ? Optional.empty() : eviction.from(target, nowNanos);
        final boolean isWorthLoading =
                target.hasFreeSlot()
                        || evicted.isPresent()
                                && popularity.of(evicted.get(), nowNanos)
                                        < popularity.of(copy.key(), nowNanos) / 2;
        if (!isWorthLoading) {
            return Optional.empty();
        }
        final boolean cached = target.slots().isCached(copy.key()) && copy.version() == 0;
        return Optional.of(
                new AdapterPlacement(
                        target.backend(),
                        copy.key(),
                        version,
                        evicted,
                        true,
                        cached,
                        loadMillis(cached)));
    }

    /** Returns whether an engine has a free adapter slot, or can free one. */
    boolean hasPlace(PlannedEngine engine, long nowNanos) {
        return engine.hasFreeSlot() || eviction.from(engine, nowNanos).isPresent();
    }

    /** Returns whether an engine may serve a request. */
    static boolean isCandidate(PlannedEngine engine, AdapterRequest request) {
        return engine.serves(request.service(), request.model())
                && !request.excludedBackends().contains(engine.backend());
    }

    private long loadMillis(boolean cached) {
        return cached ? CACHED_LOAD_MILLIS : storeLoads.usualMillis();
    }
}
