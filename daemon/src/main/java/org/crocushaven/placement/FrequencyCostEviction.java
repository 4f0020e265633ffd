package org.crocushaven.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.crocushaven.configuration.AdapterVersion;

/**
 * Evicts the version with the lowest product of decayed request frequency and reload cost.
 *
 * <p>Frequencies are kept after an eviction, so that a version that is loaded again keeps its
 * history. The reload cost is the duration of the last load. Among equal values, the least recently
 * used version is evicted.
 */
public final class FrequencyCostEviction implements EvictionPolicy {
    /** Default half-life of the frequencies, in nanoseconds; suits conversations of a few turns. */
    public static final long DEFAULT_HALF_LIFE_NANOS = 15_000_000_000L;

    private static final int MAXIMUM_VERSIONS = 8192;
    private static final double DEFAULT_LOAD_NANOS = 250_000_000;

    private final PopularityTracker popularity;
    private final Map<AdapterVersion, Long> lastUsedNanos = new HashMap<>();
    private final Map<AdapterVersion, Double> loadNanosByVersion = new HashMap<>();

    private FrequencyCostEviction(PopularityTracker popularity) {
        this.popularity = popularity;
    }

    /** Returns a policy whose frequencies decay with the given half-life. */
    public static FrequencyCostEviction create(long halfLifeNanos, long nowNanos) {
        return new FrequencyCostEviction(
                PopularityTracker.create(halfLifeNanos, MAXIMUM_VERSIONS, nowNanos));
    }

    @Override
    public void recordUse(AdapterVersion version, long nowNanos) {
        popularity.recordUse(version, nowNanos);
        lastUsedNanos.put(version, nowNanos);
    }

    @Override
    public void recordLoad(AdapterVersion version, long loadNanos, long nowNanos) {
        loadNanosByVersion.put(version, (double) loadNanos);
        lastUsedNanos.putIfAbsent(version, nowNanos);
    }

    @Override
    public void recordEviction(AdapterVersion version, long nowNanos) {
        lastUsedNanos.remove(version);
        loadNanosByVersion.remove(version);
    }

    @Override
    public Optional<AdapterVersion> chooseVersionToEvict(
            Collection<AdapterVersion> candidates, long nowNanos) {
        AdapterVersion selected = null;
        double selectedValue = 0;
        for (final AdapterVersion candidate : candidates) {
            final double value = value(candidate, nowNanos);
            if (selected == null
                    || value < selectedValue
                    || (value == selectedValue && precedes(candidate, selected))) {
                selected = candidate;
                selectedValue = value;
            }
        }
        return Optional.ofNullable(selected);
    }

    private double value(AdapterVersion version, long nowNanos) {
        return popularity.popularity(version, nowNanos)
                * loadNanosByVersion.getOrDefault(version, DEFAULT_LOAD_NANOS);
    }

    private boolean precedes(AdapterVersion one, AdapterVersion other) {
        final long used = lastUsedNanos.getOrDefault(one, Long.MIN_VALUE);
        final long usedOther = lastUsedNanos.getOrDefault(other, Long.MIN_VALUE);
        return used != usedOther ? used < usedOther : one.compareTo(other) < 0;
    }
}
