package org.crocushaven.fleet;

import java.util.HashMap;
import java.util.Map;

/** Counts recent requests per adapter. Not thread-safe; times are on a monotonic clock. */
final class AdapterPopularity {
    /** Half-life of an adapter's request count. */
    private static final double HALF_LIFE_NANOS = 15e9;

    private final Map<AdapterKey, DecayingCount> counts = new HashMap<>();

    /** Counts requests. */
    void add(AdapterKey key, int requests, long nowNanos) {
        counts.computeIfAbsent(key, name -> DecayingCount.withHalfLife(HALF_LIFE_NANOS))
                .add(requests, nowNanos);
    }

    /** Returns an adapter's request count, in which older requests count less. */
    double of(AdapterKey key, long nowNanos) {
        final DecayingCount known = counts.get(key);
        return known == null ? 0 : known.at(nowNanos);
    }
}
