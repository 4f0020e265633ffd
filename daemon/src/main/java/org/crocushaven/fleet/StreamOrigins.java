package org.crocushaven.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.agrona.collections.Long2LongHashMap;

/**
 * Remembers where streams began, for at least a given time each unless more begin than fit.
 *
 * <p>Holds two generations of primitive maps: the newer one is filled, the older one is dropped as
 * a whole, so that no entry needs a time of its own. Not thread-safe.
 */
public final class StreamOrigins {
    private final int capacity;
    private Generation newer = new Generation(0);
    private Generation older = new Generation(0);

    private StreamOrigins(int capacity) {
        this.capacity = capacity;
    }

    /**
     * Returns an empty memory.
     *
     * @param capacity maximum number of streams in each of the two generations
     */
    public static StreamOrigins ofCapacity(int capacity) {
        return new StreamOrigins(capacity);
    }

    /**
     * Remembers where a stream began.
     *
     * @param retentionNanos time for which it is remembered at least
     */
    public void add(long stream, StreamOrigin origin, long nowNanos, long retentionNanos) {
        if (newer.isEmpty() || newer.size() >= capacity) {
            startGeneration(nowNanos);
        } else if (nowNanos - newer.startedNanos >= retentionNanos) {
            startGeneration(nowNanos);
        }
        newer.put(stream, origin);
    }

    /** Returns where a stream began; empty if that is not remembered. */
    public Optional<StreamOrigin> find(long stream) {
        final StreamOrigin found = newer.get(stream);
        return Optional.ofNullable(found == null ? older.get(stream) : found);
    }

    /** Returns the number of remembered streams. */
    public int size() {
        return newer.size() + older.size();
    }

    private void startGeneration(long nowNanos) {
        if (!newer.isEmpty()) {
            older = newer;
        }
        newer = new Generation(nowNanos);
    }

    /** Streams that began in one stretch of time, with an index into their few origins. */
    private static final class Generation {
        private static final long MISSING = -1;

        private final long startedNanos;
        private final Long2LongHashMap indexes = new Long2LongHashMap(MISSING);
        private final Map<StreamOrigin, Integer> indexByOrigin = new HashMap<>();
        private final List<StreamOrigin> origins = new ArrayList<>();

        private Generation(long startedNanos) {
            this.startedNanos = startedNanos;
        }

        private void put(long stream, StreamOrigin origin) {
            indexes.put(stream, indexByOrigin.computeIfAbsent(origin, this::addOrigin));
        }

        private int addOrigin(StreamOrigin origin) {
            origins.add(origin);
            return origins.size() - 1;
        }

        private StreamOrigin get(long stream) {
            final long index = indexes.get(stream);
            return index == MISSING ? null : origins.get((int) index);
        }

        private int size() {
            return indexes.size();
        }

        private boolean isEmpty() {
            return indexes.isEmpty();
        }
    }
}
