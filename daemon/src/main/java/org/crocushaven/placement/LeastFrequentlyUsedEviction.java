package org.crocushaven.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.crocushaven.configuration.AdapterVersion;

/** Evicts the version with the fewest requests since its last eviction. */
public final class LeastFrequentlyUsedEviction implements EvictionPolicy {
    private final Map<AdapterVersion, Long> useCounts = new HashMap<>();

    private LeastFrequentlyUsedEviction() {}

    /** Returns a policy without recorded requests. */
    public static LeastFrequentlyUsedEviction create() {
        return new LeastFrequentlyUsedEviction();
    }

    @Override
    public void recordUse(AdapterVersion version, long nowNanos) {
        useCounts.merge(version, 1L, Long::sum);
    }

    @Override
    public void recordLoad(AdapterVersion version, long loadNanos, long nowNanos) {
        useCounts.putIfAbsent(version, 0L);
    }

    @Override
    public void recordEviction(AdapterVersion version, long nowNanos) {
        useCounts.remove(version);
    }

    @Override
    public Optional<AdapterVersion> chooseVersionToEvict(
            Collection<AdapterVersion> candidates, long nowNanos) {
        return EvictionOrder.lowest(candidates, version -> useCounts.getOrDefault(version, 0L));
    }
}
