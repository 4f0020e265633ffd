package org.crocushaven.bench.standin;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;

/**
 * Tracks the adapter versions that an engine has loaded or is loading, up to its number of slots.
 *
 * <p>A version occupies a slot from the start of its load. Not thread-safe.
 */
final class AdapterSlots {
    private final int slots;
    private final Set<String> loaded = new TreeSet<>();
    private final Map<String, CompletableFuture<Void>> pendingLoads = new HashMap<>();

    AdapterSlots(int slots) {
        this.slots = slots;
    }

    boolean holds(String adapterVersion) {
        return loaded.contains(adapterVersion);
    }

    boolean isFull() {
        return loaded.size() + pendingLoads.size() >= slots;
    }

    Set<String> loaded() {
        return Set.copyOf(loaded);
    }

    /** Returns the pending load of the version, or null if there is none. */
    CompletableFuture<Void> pendingLoad(String adapterVersion) {
        return pendingLoads.get(adapterVersion);
    }

    /** Occupies a slot for the version while the given load is pending. */
    void beginLoad(String adapterVersion, CompletableFuture<Void> load) {
        pendingLoads.put(adapterVersion, load);
    }

    /** Marks the load as ended; a failed load frees its slot. */
    void endLoad(String adapterVersion, boolean succeeded) {
        pendingLoads.remove(adapterVersion);
        if (succeeded) {
            loaded.add(adapterVersion);
        }
    }

    void unload(String adapterVersion) {
        loaded.remove(adapterVersion);
    }
}
