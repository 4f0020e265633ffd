package org.crocushaven.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.crocushaven.admission.LoadPriority;
import org.crocushaven.configuration.AdapterVersion;
import org.crocushaven.placement.AdapterSlot.Status;
import org.crocushaven.result.Execution;
import org.crocushaven.result.ResultCode;

/**
 * Decides which loads to request and which versions to evict for them.
 *
 * <p>A version that is pinned, possibly running a request, resident, or not known to be loaded is
 * never unloaded. Not thread-safe.
 */
final class LoadPlanner {
    private final DispatcherSettings settings;
    private final AdapterSlots slots;
    private final PermitTable permits;
    private final EvictionPolicy eviction;
    private final LoadBackoff backoff;
    private final ServiceTimes times;
    private final long fencingNumber;
    private final Consumer<DispatcherAction> actionSink;
    private final Map<AdapterVersion, PendingRequest> pendingRequests = new LinkedHashMap<>();
    private final Map<AdapterVersion, AdapterVersion> loadsAwaitingUnload = new LinkedHashMap<>();
    private final Map<AdapterVersion, Long> loadStartedNanos = new HashMap<>();
    private final Map<AdapterVersion, Long> firstRequestedNanos = new HashMap<>();
    private Set<AdapterVersion> residents = Set.of();

    LoadPlanner(
            DispatcherSettings settings,
            AdapterSlots slots,
            PermitTable permits,
            EvictionPolicy eviction,
            ServiceTimes times,
            long fencingNumber,
            Consumer<DispatcherAction> actionSink) {
        this.settings = settings;
        this.slots = slots;
        this.permits = permits;
        this.eviction = eviction;
        this.backoff = new LoadBackoff(settings);
        this.times = times;
        this.fencingNumber = fencingNumber;
        this.actionSink = actionSink;
    }

    void setResidents(Set<AdapterVersion> versions) {
        residents = Set.copyOf(versions);
    }

    boolean isResident(AdapterVersion version) {
        return residents.contains(version);
    }

    long backoffNanos(AdapterVersion version, long nowNanos) {
        return backoff.remainingNanos(version, nowNanos);
    }

    /** Requests the loads that queued requests, resident versions and prefetches need. */
    void plan(Collection<LoadDemand> waiting, List<AdapterVersion> prefetches, long nowNanos) {
        final Map<AdapterVersion, LoadDemand> demands = new LinkedHashMap<>();
        final Set<AdapterVersion> queuedVersions = new HashSet<>();
        waiting.stream()
                .sorted(LoadDemand.ORDER)
                .forEach(
                        demand -> {
                            queuedVersions.add(demand.version());
                            demands.put(demand.version(), demand);
                        });
        for (final AdapterVersion resident : residents) {
            demands.putIfAbsent(
                    resident, LoadDemand.withoutRequests(resident, LoadPriority.BATCH, nowNanos));
        }
        withdrawUnneeded(demands.keySet());
        int availableSlots =
                slots.freeCount()
                        + evictionCandidates(queuedVersions).size()
                        - loadsAwaitingUnload.size();
        availableSlots -=
                (int) pendingRequests.keySet().stream().filter(demands::containsKey).count();
        for (final LoadDemand demand : demands.values()) {
            if (canRequest(demand.version(), nowNanos) && availableSlots > 0) {
                availableSlots -= requestGrant(demand, nowNanos) ? 1 : 0;
            }
        }
        final int spareSlots =
                Math.min(
                        availableSlots,
                        slots.freeCount() - loadsAwaitingUnload.size() - pendingRequests.size());
        prefetches.stream()
                .filter(
                        version ->
                                canRequest(version, nowNanos)
                                        && !pendingRequests.containsKey(version))
                .limit(Math.max(0, spareSlots))
                .forEach(
                        version ->
                                requestGrant(
                                        LoadDemand.withoutRequests(
                                                version, LoadPriority.PREFETCH, nowNanos),
                                        nowNanos));
    }

    /** Starts a granted load, or releases the grant if the load is no longer possible or needed. */
    void handleGrant(
            AdapterVersion version,
            Set<AdapterVersion> queuedVersions,
            boolean ordersAllowed,
            long nowNanos) {
        final PendingRequest request = pendingRequests.remove(version);
        if (request == null || slots.isOccupied(version) || !ordersAllowed) {
            actionSink.accept(new DispatcherAction.ReleaseLoadGrant(version));
            return;
        }
        firstRequestedNanos.put(version, request.firstSentNanos());
        startLoadOrEvict(version, queuedVersions, nowNanos);
    }

    void handleRefusal(AdapterVersion version) {
        pendingRequests.remove(version);
    }

    /**
     * Handles the end of a load and returns whether the load failed; false if the backend server
     * restarted while the order was in flight.
     */
    boolean loadFinished(AdapterVersion version, ResultCode code, long nowNanos) {
        final AdapterSlot slot = slots.slot(version);
        if (slot == null || !slot.hasStatus(Status.LOADING)) {
            return false;
        }
        actionSink.accept(new DispatcherAction.ReleaseLoadGrant(version));
        final Long started = loadStartedNanos.remove(version);
        final Long firstRequested = firstRequestedNanos.remove(version);
        if (code == ResultCode.OK && !slot.isOrderInvalidated()) {
            slots.markLoaded(version, nowNanos);
            backoff.recordSuccess(version);
            eviction.recordLoad(version, started == null ? 0 : nowNanos - started, nowNanos);
            times.recordLoadWait(firstRequested == null ? 0 : nowNanos - firstRequested);
            return false;
        }
        if (isUncertain(code)) {
            slots.markUncertain(version, nowNanos);
        } else {
            slots.markUnloaded(version, nowNanos);
        }
        if (code != ResultCode.OK && !slot.isOrderInvalidated()) {
            backoff.recordFailure(version, nowNanos);
            return true;
        }
        return false;
    }

    void unloadFinished(
            AdapterVersion version,
            ResultCode code,
            Set<AdapterVersion> queuedVersions,
            long nowNanos) {
        final AdapterSlot slot = slots.slot(version);
        if (slot == null || !slot.hasStatus(Status.UNLOADING)) {
            return;
        }
        if (isUncertain(code)) {
            slots.markUncertain(version, nowNanos);
        } else if (code == ResultCode.OK || slot.isOrderInvalidated()) {
            slots.markUnloaded(version, nowNanos);
            eviction.recordEviction(version, nowNanos);
        } else {
            slots.markUnloadRefused(version, nowNanos);
        }
        final List<AdapterVersion> waitingLoads =
                loadsAwaitingUnload.entrySet().stream()
                        .filter(entry -> entry.getValue().equals(version))
                        .map(Map.Entry::getKey)
                        .toList();
        for (final AdapterVersion waiting : waitingLoads) {
            loadsAwaitingUnload.remove(waiting);
            startLoadOrEvict(waiting, queuedVersions, nowNanos);
        }
    }

    /** Returns whether a slot is free, or can be freed, without draining a version first. */
    boolean canFreeSlot(Set<AdapterVersion> queuedVersions) {
        return slots.freeCount()
                        + evictionCandidates(queuedVersions).size()
                        - loadsAwaitingUnload.size()
                > 0;
    }

    /** Stops new requests for one loaded version, so that it can be unloaded once it is idle. */
    void drainOneVersion(Set<AdapterVersion> queuedVersions, long nowNanos) {
        if (!slots.versions(AdapterSlot::isDraining).isEmpty()) {
            return;
        }
        final List<AdapterVersion> loaded =
                new ArrayList<>(
                        slots.versions(
                                slot -> slot.hasStatus(Status.LOADED) && !slot.isPossiblyBusy()));
        loaded.removeAll(residents);
        final List<AdapterVersion> unneeded =
                loaded.stream().filter(version -> !queuedVersions.contains(version)).toList();
        eviction.chooseVersionToEvict(unneeded.isEmpty() ? loaded : unneeded, nowNanos)
                .ifPresent(version -> slots.slot(version).setDraining(true));
    }

    void cancelDraining() {
        slots.versions(AdapterSlot::isDraining)
                .forEach(version -> slots.slot(version).setDraining(false));
    }

    /**
     * Withdraws pending load requests, except for prefetches while a slot is free, and releases
     * grants whose load has not started.
     */
    void cancelAll() {
        withdrawUnneeded(Set.of());
        loadsAwaitingUnload
                .keySet()
                .forEach(
                        version ->
                                actionSink.accept(new DispatcherAction.ReleaseLoadGrant(version)));
        loadsAwaitingUnload.clear();
    }

    void removeExpiredBackoffs(long nowNanos) {
        backoff.removeExpired(nowNanos);
    }

    private void startLoadOrEvict(
            AdapterVersion version, Set<AdapterVersion> queuedVersions, long nowNanos) {
        if (slots.freeCount() > 0) {
            slots.beginLoad(version, nowNanos);
            loadStartedNanos.put(version, nowNanos);
            actionSink.accept(new DispatcherAction.OrderLoad(version, fencingNumber));
            return;
        }
        final Optional<AdapterVersion> evicted = chooseVersionToEvict(queuedVersions, nowNanos);
        if (evicted.isEmpty()) {
            actionSink.accept(new DispatcherAction.ReleaseLoadGrant(version));
            return;
        }
        slots.beginUnload(evicted.get(), nowNanos);
        loadsAwaitingUnload.put(version, evicted.get());
        actionSink.accept(new DispatcherAction.OrderUnload(evicted.get(), fencingNumber));
    }

    private Optional<AdapterVersion> chooseVersionToEvict(
            Set<AdapterVersion> queuedVersions, long nowNanos) {
        final List<AdapterVersion> candidates = evictionCandidates(queuedVersions);
        final List<AdapterVersion> draining =
                candidates.stream().filter(version -> slots.slot(version).isDraining()).toList();
        return eviction.chooseVersionToEvict(draining.isEmpty() ? candidates : draining, nowNanos);
    }

    private List<AdapterVersion> evictionCandidates(Set<AdapterVersion> queuedVersions) {
        final List<AdapterVersion> candidates =
                new ArrayList<>(
                        slots.versions(
                                slot -> slot.hasStatus(Status.LOADED) && !slot.isPossiblyBusy()));
        candidates.removeIf(
                version ->
                        permits.isPinned(version)
                                || residents.contains(version)
                                || (queuedVersions.contains(version)
                                        && !slots.slot(version).isDraining()));
        return candidates;
    }

    private boolean canRequest(AdapterVersion version, long nowNanos) {
        return !slots.isOccupied(version)
                && !loadsAwaitingUnload.containsKey(version)
                && backoff.remainingNanos(version, nowNanos) == 0;
    }

    /** Sends or repeats a load request and returns whether it is new. */
    private boolean requestGrant(LoadDemand demand, long nowNanos) {
        final PendingRequest known = pendingRequests.get(demand.version());
        if (known != null
                && known.priority() == demand.priority()
                && nowNanos - known.lastSentNanos() < settings.loadRequestRetryNanos()) {
            return false;
        }
        pendingRequests.put(
                demand.version(),
                new PendingRequest(
                        demand.priority(),
                        known == null ? nowNanos : known.firstSentNanos(),
                        nowNanos));
        actionSink.accept(
                new DispatcherAction.RequestLoadGrant(
                        demand.version(),
                        demand.organisation(),
                        demand.weight(),
                        demand.priority(),
                        demand.waiting()));
        return known == null;
    }

    private void withdrawUnneeded(Set<AdapterVersion> neededVersions) {
        final List<AdapterVersion> withdrawn =
                pendingRequests.entrySet().stream()
                        .filter(
                                entry ->
                                        !neededVersions.contains(entry.getKey())
                                                && (entry.getValue().priority()
                                                                != LoadPriority.PREFETCH
                                                        || slots.freeCount() == 0))
                        .map(Map.Entry::getKey)
                        .toList();
        for (final AdapterVersion version : withdrawn) {
            pendingRequests.remove(version);
            actionSink.accept(new DispatcherAction.WithdrawLoadRequest(version));
        }
    }

    private static boolean isUncertain(ResultCode code) {
        return code.execution() == Execution.UNKNOWN;
    }

    private record PendingRequest(LoadPriority priority, long firstSentNanos, long lastSentNanos) {}
}
