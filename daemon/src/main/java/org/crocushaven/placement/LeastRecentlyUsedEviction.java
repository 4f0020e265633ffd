package org.crocushaven.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.crocushaven.configuration.AdapterVersion;

/** Evicts the version that was requested or loaded least recently. */
public final class LeastRecentlyUsedEviction implements EvictionPolicy {
    private final Map<AdapterVersion, Long> lastUsedNanos = new HashMap<>();

    private LeastRecentlyUsedEviction() {}

    /** Returns a policy without recorded requests. */
    public static LeastRecentlyUsedEviction create() {
        return new LeastRecentlyUsedEviction();
    }

    @Override
    public void recordUse(AdapterVersion version, long nowNanos) {
        lastUsedNanos.put(version, nowNanos);
    }

    @Override
    public void recordLoad(AdapterVersion version, long loadNanos, long nowNanos) {
        lastUsedNanos.put(version, nowNanos);
    }

    @Override
    public void recordEviction(AdapterVersion version, long nowNanos) {
        lastUsedNanos.remove(version);
    }

    @Override
    public Optional<AdapterVersion> chooseVersionToEvict(
            Collection<AdapterVersion> candidates, long nowNanos) {
        return EvictionOrder.lowest(
                candidates, version -> lastUsedNanos.getOrDefault(version, Long.MIN_VALUE));
    }
}
