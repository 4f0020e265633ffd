package org.crocushaven.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The places for adapters on one engine, as the giver of its orders believes them to be.
 *
 * <p>Errs towards full: an adapter that may be there, or on its way, occupies a place until the
 * engine itself has told otherwise. Not thread-safe.
 */
final class EngineSlots {
    /** Adapters that may be on their way to one engine; the engines' own bound. */
    static final int MAXIMUM_IN_TRANSIT = 4;

    /** What an engine tells may be older than an order by this much. */
    private static final long TELLING_LAG_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

    /** Adapters that an engine is believed to keep in memory after they left their places. */
    private static final int REMEMBERED = 100;

    private final Map<AdapterKey, Slot> slots = new LinkedHashMap<>();
    private final Set<String> models = new HashSet<>();
    private final Set<AdapterKey> remembered = new LinkedHashSet<>();

    /** Takes in what the engine says that it holds. */
    void told(Collection<HeldAdapter> held, long nowNanos) {
        final Map<AdapterKey, Long> versions = new HashMap<>();
        models.clear();
        for (final HeldAdapter adapter : held) {
            if (adapter.adapter().isEmpty()) {
                models.add(adapter.model());
            } else {
                versions.put(AdapterKey.of(adapter), adapter.version());
            }
        }
        slots.entrySet()
                .removeIf(
                        entry ->
                                !versions.containsKey(entry.getKey())
                                        && isSettled(entry.getValue(), nowNanos));
        versions.forEach((key, version) -> toldOf(key, version, nowNanos));
    }

    /** Returns whether the engine holds a base model. */
    boolean holdsModel(String model) {
        return models.contains(model);
    }

    /** Returns whether the engine holds any base model. */
    boolean isEmpty() {
        return models.isEmpty();
    }

    /** Returns the place of an adapter. */
    Optional<Slot> find(AdapterKey key) {
        return Optional.ofNullable(slots.get(key));
    }

    /** Returns how many places are taken. */
    int taken() {
        return slots.size();
    }

    /** Returns how many adapters are on their way. */
    int inTransit(long nowNanos) {
        int count = 0;
        for (final Slot slot : slots.values()) {
            if (slot.loading && slot.readyNanos - nowNanos > 0) {
                count++;
            }
        }
        return count;
    }

    /** Returns all adapters with their places. */
    Map<AdapterKey, Slot> all() {
        return slots;
    }

    /** Takes a place for an adapter that is about to be ordered. */
    Slot reserve(AdapterKey key, long version, long readyNanos, long nowNanos) {
        final Slot slot = new Slot(version);
        slot.loading = true;
        slot.readyNanos = readyNanos;
        slot.touchedNanos = nowNanos;
        slot.usedNanos = nowNanos;
        slots.put(key, slot);
        return slot;
    }

    /** Returns whether the engine held an adapter lately, so that it comes from its own memory. */
    boolean remembers(AdapterKey key) {
        return remembered.contains(key);
    }

    /** Gives up the place of an adapter that has left, and remembers that it was there. */
    void left(AdapterKey key) {
        slots.remove(key);
        remembered.remove(key);
        remembered.add(key);
        if (remembered.size() > REMEMBERED) {
            remembered.remove(remembered.iterator().next());
        }
    }

    /** Gives up the place of an adapter that is certainly not there. */
    void release(AdapterKey key) {
        slots.remove(key);
    }

    /** Returns what can be used now, base models included. */
    List<HeldAdapter> usable(long nowNanos) {
        final List<HeldAdapter> usable = new ArrayList<>();
        models.forEach(model -> usable.add(new HeldAdapter(model, "", 0)));
        slots.forEach(
                (key, slot) -> {
                    if (slot.isUsable(nowNanos)) {
                        usable.add(new HeldAdapter(key.model(), key.adapter(), slot.version));
                    }
                });
        return usable;
    }

    private void toldOf(AdapterKey key, long version, long nowNanos) {
        final Slot slot = slots.get(key);
        if (slot == null) {
            final Slot found = new Slot(version);
            found.touchedNanos = nowNanos - TELLING_LAG_NANOS;
            found.usedNanos = nowNanos;
            slots.put(key, found);
            return;
        }
        if (slot.leaving && nowNanos - slot.touchedNanos < TELLING_LAG_NANOS) {
            return;
        }
        if (version == slot.version || isSettled(slot, nowNanos)) {
            slot.version = version;
            slot.readyNanos = Math.min(slot.readyNanos, nowNanos);
            slot.loading = false;
        }
    }

    private boolean isSettled(Slot slot, long nowNanos) {
        final long since =
                slot.loading ? Math.max(slot.touchedNanos, slot.readyNanos) : slot.touchedNanos;
        return nowNanos - since >= TELLING_LAG_NANOS;
    }

    /** The place of one adapter. */
    static final class Slot {
        private long version;
        private boolean loading;
        private boolean leaving;
        private long readyNanos;
        private long touchedNanos;
        private long usedNanos;
        private int running;

        private Slot(long version) {
            this.version = version;
        }

        long version() {
            return version;
        }

        long readyNanos() {
            return readyNanos;
        }

        boolean isLeaving() {
            return leaving;
        }

        long usedNanos() {
            return usedNanos;
        }

        int running() {
            return running;
        }

        boolean isLoading(long nowNanos) {
            return loading && readyNanos - nowNanos > 0;
        }

        boolean isUsable(long nowNanos) {
            return !leaving && !isLoading(nowNanos);
        }

        void used(int runningNow, long nowNanos) {
            running = runningNow;
            usedNanos = nowNanos;
        }

        void idle() {
            running = 0;
        }

        void startLeaving(long nowNanos) {
            leaving = true;
            touchedNanos = nowNanos;
        }

        void stay(long nowNanos) {
            leaving = false;
            touchedNanos = nowNanos;
        }

        void ready(long atNanos, long nowNanos) {
            readyNanos = atNanos;
            touchedNanos = nowNanos;
        }
    }
}
