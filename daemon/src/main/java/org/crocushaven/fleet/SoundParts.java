package org.crocushaven.fleet;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Remembers on which parts of prompts answers went on lately, and at which base models, so that
 * they are not guilty of crashes. Bounded by eviction of the longest unused; not thread-safe.
 */
public final class SoundParts {
    private final int capacity;
    private final long retentionNanos;
    private final Map<Long, Map<String, Long>> wentOnNanos = new LinkedHashMap<>();

    private SoundParts(int capacity, long retentionNanos) {
        this.capacity = capacity;
        this.retentionNanos = retentionNanos;
    }

    /** Returns an empty memory of limited size and time. */
    public static SoundParts of(int capacity, long retentionMillis) {
        return new SoundParts(capacity, TimeUnit.MILLISECONDS.toNanos(retentionMillis));
    }

    /** Records that an answer on a part goes on. */
    public void add(ModelPart part, long nowNanos) {
        final Map<String, Long> known = wentOnNanos.remove(part.part());
        final Map<String, Long> models = known == null ? new HashMap<>(2) : known;
        models.put(part.model(), nowNanos);
        wentOnNanos.put(part.part(), models);
        if (wentOnNanos.size() > capacity) {
            wentOnNanos.remove(wentOnNanos.keySet().iterator().next());
        }
    }

    /** Returns whether an answer on a part went on lately. */
    public boolean contains(ModelPart part, long nowNanos) {
        final Long known = wentOnNanos.getOrDefault(part.part(), Map.of()).get(part.model());
        return known != null && nowNanos - known <= retentionNanos;
    }

    /** Returns the models at which an answer on a part went on lately, in order. */
    public List<String> modelsOf(long part, long nowNanos) {
        return wentOnNanos.getOrDefault(part, Map.of()).entrySet().stream()
                .filter(entry -> nowNanos - entry.getValue() <= retentionNanos)
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }
}
