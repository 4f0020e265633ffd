package org.crocushaven.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.crocushaven.backend.LoadReport;
import org.crocushaven.configuration.AdapterVersion;
import org.crocushaven.placement.AdapterSlot.Status;

/**
 * Tracks the assumed state of the adapter slots of one backend server.
 *
 * <p>A report changes the state of a slot only if it was taken after that state was recorded.
 * Reports arrive up to {@link DispatcherSettings#reportLagNanos} late. Not thread-safe.
 */
final class AdapterSlots {
    private final int capacity;
    private final DispatcherSettings settings;
    private final long redeclareWindowEndNanos;
    private final Map<AdapterVersion, AdapterSlot> slots = new LinkedHashMap<>();
    private final Map<AdapterVersion, Long> unloadedAtNanos = new HashMap<>();

    AdapterSlots(int capacity, DispatcherSettings settings, long takeoverNanos) {
        this.capacity = capacity;
        this.settings = settings;
        this.redeclareWindowEndNanos = takeoverNanos + settings.redeclareWindowNanos();
    }

    /** Applies a report of the current incarnation. */
    void applyReport(LoadReport report, long nowNanos) {
        final Set<AdapterVersion> loaded = new HashSet<>(report.loaded());
        final Set<AdapterVersion> busy = new HashSet<>(report.busy());
        loaded.addAll(busy);
        unloadedAtNanos.values().removeIf(since -> isCoveredByReport(since, nowNanos));
        for (final AdapterVersion version : loaded) {
            applyReportedLoaded(version, nowNanos);
        }
        final Iterator<Map.Entry<AdapterVersion, AdapterSlot>> entries =
                slots.entrySet().iterator();
        while (entries.hasNext()) {
            final Map.Entry<AdapterVersion, AdapterSlot> entry = entries.next();
            if (!loaded.contains(entry.getKey())
                    && isConfirmedUnloaded(entry.getValue(), nowNanos)) {
                entries.remove();
            } else if (!busy.contains(entry.getKey())) {
                applyReportedIdle(entry.getValue(), nowNanos);
            }
        }
    }

    void beginLoad(AdapterVersion version, long nowNanos) {
        slots.put(version, new AdapterSlot(Status.LOADING, nowNanos));
    }

    void beginUnload(AdapterVersion version, long nowNanos) {
        slots.get(version).changeStatus(Status.UNLOADING, nowNanos);
    }

    void markLoaded(AdapterVersion version, long nowNanos) {
        slots.get(version).changeStatus(Status.LOADED, nowNanos);
    }

    /** Records that it is unknown whether an order was executed or will still be executed. */
    void markUncertain(AdapterVersion version, long nowNanos) {
        slots.get(version).changeStatus(Status.UNCERTAIN, nowNanos);
    }

    void markUnloaded(AdapterVersion version, long nowNanos) {
        slots.remove(version);
        unloadedAtNanos.put(version, nowNanos);
    }

    /** Records that the backend server does not have a version that was assumed to be loaded. */
    void markMissing(AdapterVersion version, long nowNanos) {
        final AdapterSlot slot = slots.get(version);
        if (slot != null && slot.hasStatus(Status.LOADED)) {
            markUnloaded(version, nowNanos);
        }
    }

    /** Records that an unload was refused because a request runs on the version. */
    void markUnloadRefused(AdapterVersion version, long nowNanos) {
        final AdapterSlot slot = slots.get(version);
        slot.changeStatus(Status.LOADED, nowNanos);
        slot.markPossiblyBusy(nowNanos);
    }

    void markPossiblyBusy(AdapterVersion version, long nowNanos) {
        final AdapterSlot slot = slots.get(version);
        if (slot != null) {
            slot.markPossiblyBusy(nowNanos);
        }
    }

    /** Removes loaded versions and invalidates orders in flight after a restart of the server. */
    void handleServerRestart() {
        slots.values().removeIf(slot -> slot.hasStatus(Status.LOADED));
        slots.values().forEach(AdapterSlot::invalidateOrder);
        unloadedAtNanos.clear();
    }

    boolean isServable(AdapterVersion version) {
        final AdapterSlot slot = slots.get(version);
        return slot != null && slot.hasStatus(Status.LOADED) && !slot.isDraining();
    }

    AdapterSlot slot(AdapterVersion version) {
        return slots.get(version);
    }

    boolean isOccupied(AdapterVersion version) {
        return slots.containsKey(version);
    }

    int freeCount() {
        return Math.max(0, capacity - slots.size());
    }

    int capacity() {
        return capacity;
    }

    /** Returns the versions whose slot satisfies the condition. */
    List<AdapterVersion> versions(Predicate<AdapterSlot> condition) {
        final List<AdapterVersion> versions = new ArrayList<>();
        slots.forEach(
                (version, slot) -> {
                    if (condition.test(slot)) {
                        versions.add(version);
                    }
                });
        return versions;
    }

    private void applyReportedLoaded(AdapterVersion version, long nowNanos) {
        final AdapterSlot slot = slots.get(version);
        if (slot == null) {
            if (!unloadedAtNanos.containsKey(version)) {
                final AdapterSlot found = new AdapterSlot(Status.LOADED, nowNanos);
                found.markPossiblyBusy(nowNanos);
                slots.put(version, found);
            }
            return;
        }
        if (slot.hasStatus(Status.UNCERTAIN) && isOutcomeSettled(slot, nowNanos)) {
            slot.changeStatus(Status.LOADED, nowNanos);
            slot.markPossiblyBusy(nowNanos);
        }
    }

    private void applyReportedIdle(AdapterSlot slot, long nowNanos) {
        if (slot.isPossiblyBusy()
                && isCoveredByReport(slot.possiblyBusySinceNanos(), nowNanos)
                && nowNanos - redeclareWindowEndNanos >= 0) {
            slot.clearPossiblyBusy();
        }
    }

    private boolean isConfirmedUnloaded(AdapterSlot slot, long nowNanos) {
        return switch (slot.status()) {
            case LOADED -> isCoveredByReport(slot.sinceNanos(), nowNanos);
            case UNCERTAIN -> isOutcomeSettled(slot, nowNanos);
            default -> false;
        };
    }

    /** Returns whether the order of uncertain outcome had expired when the report was taken. */
    private boolean isOutcomeSettled(AdapterSlot slot, long nowNanos) {
        return isCoveredByReport(slot.sinceNanos() + settings.orderLifetimeNanos(), nowNanos);
    }

    private boolean isCoveredByReport(long sinceNanos, long nowNanos) {
        return nowNanos - sinceNanos >= settings.reportLagNanos();
    }
}
