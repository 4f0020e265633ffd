package org.crocushaven.fleet;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Decides which adapter of an engine makes room for another one. Not thread-safe. */
final class EvictionChoice {
    /** Minimum time since its last use before an adapter may be evicted. */
    private static final long MINIMUM_IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

    private final AdapterPopularity popularity;
    private final Map<AdapterKey, Long> requiredVersions;

    /**
     * Creates the choice.
     *
     * @param popularity recent requests by adapter, updated by the caller
     * @param requiredVersions versions that the operator requires, updated by the caller
     */
    EvictionChoice(AdapterPopularity popularity, Map<AdapterKey, Long> requiredVersions) {
        this.popularity = popularity;
        this.requiredVersions = requiredVersions;
    }

    /**
     * Returns the idle adapter with the fewest recent requests; one of an outdated version comes
     * before all others.
     */
    Optional<AdapterKey> from(PlannedEngine engine, long nowNanos) {
        AdapterKey best = null;
        double fewestRequests = Double.MAX_VALUE;
        for (final Map.Entry<AdapterKey, EngineSlots.Slot> entry :
                engine.slots().all().entrySet()) {
            final EngineSlots.Slot slot = entry.getValue();
            if (slot.running() > 0
                    || slot.isKept(nowNanos)
                    || !slot.isConfirmed()
                    || !slot.isUsable(nowNanos)
                    || nowNanos - slot.usedNanos() < MINIMUM_IDLE_NANOS) {
                continue;
            }
            final boolean old = slot.version() < requiredVersions.getOrDefault(entry.getKey(), 0L);
            final double requests = old ? -1 : popularity.of(entry.getKey(), nowNanos);
            if (requests < fewestRequests) {
                fewestRequests = requests;
                best = entry.getKey();
            }
        }
        return Optional.ofNullable(best);
    }
}
