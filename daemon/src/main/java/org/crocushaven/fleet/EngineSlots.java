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
 * engine has reported otherwise after the last order to it. Not thread-safe.
 */
final class EngineSlots {
    /** Adapters that may be on their way to one engine; the engines' own bound. */
    static final int MAXIMUM_IN_TRANSIT = 4;

    /** Time between two reports that confirm loads; a report is priced as a probe. */
    private static final long CONFIRMATION_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /**
     * Time for which an adapter that an engine told of counts as unused already. What uses it is
     * known from the gateways' reports of the next quarter of a second; until then it stays.
     */
    private static final long TOLD_UNUSED_NANOS = TimeUnit.MILLISECONDS.toNanos(550);

    /** Time between two reports while it is not known whether orders were carried out. */
    private static final long UNSURE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    /** Adapters that an engine is believed to keep in memory after they left their places. */
    private static final int REMEMBERED = 100;

    private final Map<AdapterKey, Slot> slots = new LinkedHashMap<>();
    private final Set<String> models = new HashSet<>();
    private final Set<AdapterKey> remembered = new LinkedHashSet<>();
    private boolean verified;
    private long reportedNanos;

    /** Takes in a heartbeat, which may be old: it can add to what is believed, not take away. */
    void announced(Collection<HeldAdapter> held, long nowNanos) {
        models.clear();
        for (final HeldAdapter adapter : held) {
            if (adapter.adapter().isEmpty()) {
                models.add(adapter.model());
            } else {
                slots.computeIfAbsent(
                        AdapterKey.of(adapter), key -> told(adapter.version(), nowNanos));
            }
        }
    }

    /** Takes in the engine's own report of the time after the last order; it decides. */
    void reported(EngineReport report, long nowNanos) {
        verified = true;
        reportedNanos = nowNanos;
        final Map<AdapterKey, Long> versions = new HashMap<>();
        final Set<AdapterKey> pending = new HashSet<>();
        report.held().stream()
                .filter(held -> !held.adapter().isEmpty())
                .forEach(held -> versions.put(AdapterKey.of(held), held.version()));
        for (final HeldAdapter onItsWay : report.pending()) {
            pending.add(AdapterKey.of(onItsWay));
            versions.put(AdapterKey.of(onItsWay), onItsWay.version());
        }
        slots.entrySet()
                .removeIf(
                        entry -> !entry.getValue().queued && !versions.containsKey(entry.getKey()));
        versions.forEach(
                (key, version) -> {
                    final Slot slot = slots.computeIfAbsent(key, name -> told(version, nowNanos));
                    slot.told(version, pending.contains(key));
                });
        keepPromisedRoom();
    }

    /** What leaves for an adapter that waits for its turn must not leave for another one too. */
    private void keepPromisedRoom() {
        final List<AdapterKey> victims = new ArrayList<>();
        slots.values().stream()
                .filter(slot -> slot.queued)
                .forEach(slot -> slot.victim.ifPresent(victims::add));
        victims.forEach(victim -> find(victim).ifPresent(Slot::startLeaving));
    }

    /** Returns whether a report is wanted, since places are not known or loads not confirmed. */
    boolean wantsReport(long nowNanos) {
        return !verified
                || nowNanos - reportedNanos >= CONFIRMATION_NANOS
                        && slots.values().stream().anyMatch(slot -> !slot.confirmed)
                || nowNanos - reportedNanos >= UNSURE_NANOS
                        && slots.values().stream().anyMatch(slot -> slot.unsure);
    }

    /** Returns whether the engine has reported itself, so that its places are known. */
    boolean isVerified() {
        return verified;
    }

    /** Notes that the places are not known until the engine reports itself. */
    void doubt() {
        verified = false;
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

    /** Returns how many places are taken without those of adapters that leave. */
    long staying() {
        return slots.values().stream().filter(slot -> !slot.leaving).count();
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

    /** Returns the time until the next adapter on its way is expected; 0 when none is. */
    long nextReadyNanos(long nowNanos) {
        return slots.values().stream()
                .filter(slot -> slot.isLoading(nowNanos))
                .mapToLong(slot -> slot.readyNanos - nowNanos)
                .min()
                .orElse(0);
    }

    /** Returns all adapters with their places. */
    Map<AdapterKey, Slot> all() {
        return slots;
    }

    /**
     * Takes a place for an adapter that is about to be ordered.
     *
     * @param victim adapter that leaves for it
     */
    Slot reserve(
            AdapterKey key,
            long version,
            Optional<AdapterKey> victim,
            long readyNanos,
            long nowNanos) {
        final Slot slot = new Slot(version, nowNanos);
        slot.victim = victim;
        slot.queued = true;
        slot.loading = true;
        slot.readyNanos = readyNanos;
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

    private static Slot told(long version, long nowNanos) {
        return new Slot(version, nowNanos - TOLD_UNUSED_NANOS);
    }

    /** The place of one adapter. */
    static final class Slot {
        private long version;
        private Optional<AdapterKey> victim = Optional.empty();
        private boolean queued;
        private boolean unsure;
        private boolean loading;
        private boolean leaving;
        private boolean confirmed;
        private boolean accepted;
        private long readyNanos;
        private long usedNanos;
        private int running;

        private Slot(long version, long usedNanos) {
            this.version = version;
            this.usedNanos = usedNanos;
        }

        private void told(long toldVersion, boolean onItsWay) {
            version = toldVersion;
            loading = onItsWay;
            confirmed = !onItsWay;
            leaving = false;
            unsure = false;
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

        /** Notes that the order to load it is given now. */
        void ordered() {
            queued = false;
        }

        /** Returns whether it waits for its turn at the weight store. */
        boolean isQueued() {
            return queued;
        }

        /** Notes that an order for it got no answer; it takes its place until a report tells. */
        void doubt() {
            unsure = true;
        }

        /** Notes that the engine accepted the order to load it. */
        void accepted() {
            accepted = true;
        }

        /** Returns whether the engine accepted the order; otherwise it may begin seconds late. */
        boolean isAccepted() {
            return accepted;
        }

        /**
         * Returns whether the engine has reported it; one that is on its way cannot be unloaded.
         */
        boolean isConfirmed() {
            return confirmed;
        }

        boolean isUsable(long nowNanos) {
            return !leaving && !unsure && !isLoading(nowNanos);
        }

        void used(int runningNow, long nowNanos) {
            running = runningNow;
            usedNanos = nowNanos;
        }

        void idle() {
            running = 0;
        }

        void startLeaving() {
            leaving = true;
        }

        void stay() {
            leaving = false;
        }

        void ready(long atNanos) {
            readyNanos = atNanos;
        }
    }
}
