package org.crocushaven.fleet;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Remembers on which traits of requests answers went on lately, and at which base models, so that
 * they are not guilty of crashes. Bounded by eviction of the longest unused; not thread-safe.
 */
public final class SoundTraits {
    private final int capacity;
    private final long retentionNanos;
    private final Map<Long, Map<String, Long>> wentOnNanos = new LinkedHashMap<>();

    private SoundTraits(int capacity, long retentionNanos) {
        this.capacity = capacity;
        this.retentionNanos = retentionNanos;
    }

    /** Returns an empty memory of limited size and time. */
    public static SoundTraits of(int capacity, long retentionMillis) {
        return new SoundTraits(capacity, TimeUnit.MILLISECONDS.toNanos(retentionMillis));
    }

    /** Records that an answer on a trait goes on. */
    public void add(ModelTrait trait, long nowNanos) {
        final Map<String, Long> known = wentOnNanos.remove(trait.trait());
        final Map<String, Long> models = known == null ? new HashMap<>(2) : known;
        models.put(trait.model(), nowNanos);
        wentOnNanos.put(trait.trait(), models);
        if (wentOnNanos.size() > capacity) {
            wentOnNanos.remove(wentOnNanos.keySet().iterator().next());
        }
    }

    /** Returns whether an answer on a trait went on lately. */
    public boolean contains(ModelTrait trait, long nowNanos) {
        final Long known = wentOnNanos.getOrDefault(trait.trait(), Map.of()).get(trait.model());
        return known != null && nowNanos - known <= retentionNanos;
    }

    /** Returns the models at which an answer on a trait went on lately, in order. */
    public List<String> modelsOf(long trait, long nowNanos) {
        return wentOnNanos.getOrDefault(trait, Map.of()).entrySet().stream()
                .filter(entry -> nowNanos - entry.getValue() <= retentionNanos)
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }
}
