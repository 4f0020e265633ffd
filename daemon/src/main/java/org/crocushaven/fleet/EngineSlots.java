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
 * Tracks the adapter slots of one engine from its orders, heartbeats and reports.
 *
 * <p>Overestimates the occupied slots: an adapter that may be loaded or loading occupies a slot
 * until the engine has reported otherwise after the last order to it. Not thread-safe.
 */
final class EngineSlots {
    /** Maximum number of adapters loading on one engine; the engines' own limit. */
    static final int MAXIMUM_LOADING = 4;

    /** Time between two reports that confirm loads; a report costs as much as a probe. */
    private static final long CONFIRMATION_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /**
     * Idle time assumed for an adapter that first appears in a heartbeat or report. The reports of
     * gateways show within the next quarter of a second whether it is used; until then it is not
     * evicted.
     */
    private static final long ASSUMED_IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(550);

    /** Time between two reports while the outcome of an order is unknown. */
    private static final long UNKNOWN_OUTCOME_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    /** Maximum number of unloaded adapters that an engine is assumed to keep in memory. */
    private static final int MAXIMUM_CACHED = 100;

    private final Map<AdapterKey, Slot> slots = new LinkedHashMap<>();
    private final Set<String> models = new HashSet<>();
    private final Set<AdapterKey> cached = new LinkedHashSet<>();
    private boolean verified;
    private long reportedNanos;

    /**
     * Applies a heartbeat, which may be outdated: it replaces the base models, and adds adapters
     * but removes none.
     */
    void announced(Collection<HeldAdapter> held, long nowNanos) {
        models.clear();
        for (final HeldAdapter adapter : held) {
            if (adapter.adapter().isEmpty()) {
                models.add(adapter.model());
            } else {
                slots.computeIfAbsent(
                        AdapterKey.of(adapter), key -> newlySeen(adapter.version(), nowNanos));
            }
        }
    }

    /** Applies a report made after the last order; it overrides what was assumed. */
    void reported(EngineReport report, long nowNanos) {
        verified = true;
        reportedNanos = nowNanos;
        final Map<AdapterKey, Long> versions = new HashMap<>();
        final Set<AdapterKey> pending = new HashSet<>();
        report.held().stream()
                .filter(held -> !held.adapter().isEmpty())
                .forEach(held -> versions.put(AdapterKey.of(held), held.version()));
        for (final HeldAdapter loadingAdapter : report.pending()) {
            pending.add(AdapterKey.of(loadingAdapter));
            versions.put(AdapterKey.of(loadingAdapter), loadingAdapter.version());
        }
        slots.keySet().retainAll(versions.keySet());
        versions.forEach(
                (key, version) -> {
                    final Slot slot =
                            slots.computeIfAbsent(key, name -> newlySeen(version, nowNanos));
                    slot.applyReport(version, pending.contains(key));
                });
    }

    /**
     * Returns whether a report is due because the slots are unverified, loads are unconfirmed, or
     * the outcome of an order is unknown.
     */
    boolean isReportDue(long nowNanos) {
        return !verified
                || nowNanos - reportedNanos >= CONFIRMATION_NANOS
                        && slots.values().stream().anyMatch(slot -> !slot.confirmed)
                || nowNanos - reportedNanos >= UNKNOWN_OUTCOME_NANOS
                        && slots.values().stream().anyMatch(slot -> slot.outcomeUnknown);
    }

    /** Returns whether the occupied slots are known from a report of the engine. */
    boolean isVerified() {
        return verified;
    }

    /** Marks the slots as unverified until the next report. */
    void markUnverified() {
        verified = false;
    }

    /** Returns whether the engine holds a base model. */
    boolean holdsModel(String model) {
        return models.contains(model);
    }

    /** Returns whether the engine holds no base model. */
    boolean holdsNoModel() {
        return models.isEmpty();
    }

    /** Returns the slot of an adapter. */
    Optional<Slot> find(AdapterKey key) {
        return Optional.ofNullable(slots.get(key));
    }

    /** Returns the number of occupied slots; an adapter that is being replaced occupies two. */
    int occupied() {
        int occupied = slots.size();
        for (final Slot slot : slots.values()) {
            occupied += slot.replaces ? 1 : 0;
        }
        return occupied;
    }

    /** Returns the number of adapters that are being loaded. */
    int loadingCount(long nowNanos) {
        int count = 0;
        for (final Slot slot : slots.values()) {
            if (slot.loading && slot.readyNanos - nowNanos > 0) {
                count++;
            }
        }
        return count;
    }

    /** Returns the time until the next load is expected to end; 0 if none is in flight. */
    long untilNextReadyNanos(long nowNanos) {
        return slots.values().stream()
                .filter(slot -> slot.isLoading(nowNanos))
                .mapToLong(slot -> slot.readyNanos - nowNanos)
                .min()
                .orElse(0);
    }

    /** Returns the slots of all adapters. */
    Map<AdapterKey, Slot> all() {
        return slots;
    }

    /** Reserves a slot for an adapter whose load is ordered now. */
    Slot reserve(AdapterKey key, long version, long readyNanos, long nowNanos) {
        final Slot slot = new Slot(version, nowNanos);
        slot.loading = true;
        slot.replaces = slots.containsKey(key);
        slot.readyNanos = readyNanos;
        slots.put(key, slot);
        return slot;
    }

    /**
     * Returns whether the engine unloaded an adapter recently, so that it reloads from its own
     * memory.
     */
    boolean isCached(AdapterKey key) {
        return cached.contains(key);
    }

    /** Frees the slot of an unloaded adapter and records that the engine keeps it in memory. */
    void unloaded(AdapterKey key) {
        slots.remove(key);
        cached.remove(key);
        cached.add(key);
        if (cached.size() > MAXIMUM_CACHED) {
            cached.remove(cached.iterator().next());
        }
    }

    /** Frees the slot of an adapter that is certainly not loaded. */
    void release(AdapterKey key) {
        slots.remove(key);
    }

    /** Returns the base models and adapters that can be used now. */
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

    private static Slot newlySeen(long version, long nowNanos) {
        return new Slot(version, nowNanos - ASSUMED_IDLE_NANOS);
    }

    /** The slot of one adapter. */
    static final class Slot {
        private long version;
        private boolean outcomeUnknown;
        private boolean missing;
        private boolean loading;
        private boolean replaces;
        private boolean unloading;
        private boolean confirmed;
        private boolean accepted;
        private long readyNanos;
        private long usedNanos;
        private int running;
        private boolean kept;
        private long keptUntilNanos;

        private Slot(long version, long usedNanos) {
            this.version = version;
            this.usedNanos = usedNanos;
        }

        private void applyReport(long reportedVersion, boolean stillLoading) {
            version = reportedVersion;
            loading = stillLoading;
            accepted = true;
            confirmed = !stillLoading;
            replaces &= stillLoading;
            unloading = false;
            outcomeUnknown = false;
            missing = false;
        }

        long version() {
            return version;
        }

        long readyNanos() {
            return readyNanos;
        }

        boolean isUnloading() {
            return unloading;
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

        /**
         * Records that an order for it got no answer; it occupies its slot until the next report.
         */
        void markOutcomeUnknown() {
            outcomeUnknown = true;
        }

        /** Records that the engine answered a request that it does not hold the adapter. */
        void markMissing() {
            missing = true;
        }

        /** Returns whether the engine answered that it does not hold it, until the next report. */
        boolean isMissing() {
            return missing;
        }

        /** Records that the engine accepted the order to load it, and when it should be there. */
        void acceptedUntil(long expectedNanos) {
            accepted = true;
            readyNanos = expectedNanos;
        }

        /**
         * Returns whether the engine accepted the order; otherwise the load may start seconds late.
         */
        boolean isAccepted() {
            return accepted;
        }

        /**
         * Returns whether the engine has reported it as loaded; an adapter that is still loading
         * cannot be unloaded.
         */
        boolean isConfirmed() {
            return confirmed;
        }

        /** Returns whether it holds an older version than required, which may be replaced. */
        boolean isOutdated(long requiredVersion) {
            return confirmed && !unloading && running == 0 && version < requiredVersion;
        }

        boolean isUsable(long nowNanos) {
            final boolean isThere = accepted || !loading;
            return isThere && !unloading && !outcomeUnknown && !missing && !isLoading(nowNanos);
        }

        void setRunning(int newRunning, long nowNanos) {
            running = newRunning;
            kept = false;
            usedNanos = nowNanos;
        }

        /** Keeps it from eviction until it is used, or until a time. */
        void keepUntil(long untilNanos) {
            kept = true;
            keptUntilNanos = untilNanos;
        }

        /** Returns whether it is kept for a caller who should return. */
        boolean isKept(long nowNanos) {
            return kept && keptUntilNanos - nowNanos > 0;
        }

        void clearRunning() {
            running = 0;
        }

        void startUnloading() {
            unloading = true;
        }

        void cancelUnloading() {
            unloading = false;
        }

        void expectReadyAt(long atNanos) {
            readyNanos = atNanos;
        }
    }
}
