package org.crocushaven.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.crocushaven.ingress.EngineProfile;

/**
 * Holds what is known of the engines, their adapters and the weight store, and answers where
 * adapters are used or loaded. Not thread-safe; times are on a monotonic clock.
 */
final class AdapterPlanner {
    /** Maximum age of the state in an engine's report. */
    private static final long REPORT_LAG_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final Map<String, PlannedEngine> engines = new HashMap<>();
    private final AdapterPopularity popularity = new AdapterPopularity();
    private final Map<AdapterKey, Long> requiredVersions = new HashMap<>();
    private final StoreLoads storeLoads = new StoreLoads();
    private Set<String> evacuatedDomains = Set.of();
    private final EngineChoice choice =
            new EngineChoice(
                    engines,
                    new EvictionChoice(popularity, requiredVersions),
                    popularity,
                    storeLoads);

    /** Applies an engine's announcement. */
    void announced(BackendAnnouncement announcement, EngineProfile profile, long nowNanos) {
        final PlannedEngine known = engines.get(announcement.backend());
        final boolean restarted =
                known != null
                        && known.announcement().startedMillis() != announcement.startedMillis();
        final PlannedEngine engine =
                known == null || restarted ? new PlannedEngine(announcement, profile) : known;
        engines.put(announcement.backend(), engine);
        engine.announced(announcement, profile);
        engine.setEvacuated(evacuatedDomains.contains(announcement.failureDomain()));
        if (announcement.holdsModels()) {
            engine.slots().announced(announcement.held(), nowNanos);
        }
    }

    /** Removes an engine. */
    void remove(String backend) {
        engines.remove(backend);
        storeLoads.forget(backend);
    }

    /** Applies the report of an engine that has carried out all orders sent to it. */
    void reported(String backend, EngineReport report, long nowNanos) {
        final PlannedEngine engine = engines.get(backend);
        if (engine == null) {
            return;
        }
        engine.slots().reported(report, nowNanos);
        for (final HeldAdapter pending : report.pending()) {
            expectLater(engine, AdapterKey.of(pending), nowNanos);
        }
    }

    /** Expects an accepted load later that should have ended before the report was made. */
    private void expectLater(PlannedEngine engine, AdapterKey key, long nowNanos) {
        engine.slots()
                .find(key)
                .filter(EngineSlots.Slot::isAccepted)
                .filter(slot -> nowNanos - slot.readyNanos() >= REPORT_LAG_NANOS)
                .ifPresent(
                        slot -> {
                            slot.expectReadyAt(nowNanos + REPORT_LAG_NANOS);
                            extend(storeLoads.wasLate(engine.backend(), key, nowNanos));
                        });
    }

    /**
     * Applies that an engine answered that it does not hold an adapter, although it should by now:
     * its load takes longer, or what is known of the engine is wrong.
     */
    void missing(String backend, AdapterKey key, long nowNanos) {
        final Optional<EngineSlots> slots = slotsOf(backend);
        final Optional<EngineSlots.Slot> slot = slots.flatMap(known -> known.find(key));
        if (slot.isEmpty() || slot.get().isLoading(nowNanos)) {
            return;
        }
        final List<StoreLoads.Extension> extended = storeLoads.wasLate(backend, key, nowNanos);
        if (extended.isEmpty()) {
            slot.get().markMissing();
            slots.get().markUnverified();
        } else {
            extend(extended);
        }
    }

    private void extend(List<StoreLoads.Extension> extended) {
        for (final StoreLoads.Extension extension : extended) {
            slotsOf(extension.backend())
                    .flatMap(slots -> slots.find(extension.key()))
                    .ifPresent(slot -> slot.expectReadyAt(extension.endNanos()));
        }
    }

    /** Returns the engines that should be asked for a report. */
    List<String> enginesDueForReport(long nowNanos) {
        final List<String> due = new ArrayList<>();
        engines.forEach(
                (backend, engine) -> {
                    if (engine.slots().isReportDue(nowNanos)) {
                        due.add(backend);
                    }
                });
        return due;
    }

    /** Applies the adapter versions that the operator requires. */
    void requireVersions(Collection<AdapterVersion> versions) {
        versions.forEach(
                required ->
                        requiredVersions.put(
                                new AdapterKey(required.model(), required.adapter()),
                                required.version()));
    }

    /** Sets the number of requests in flight at an engine, over all gateways. */
    void setRequests(String backend, int requests) {
        final PlannedEngine engine = engines.get(backend);
        if (engine != null) {
            engine.setRequests(requests);
        }
    }

    /** Applies the running requests per adapter of all gateways. */
    void updateUse(Collection<AdapterUse> running, long nowNanos) {
        engines.values()
                .forEach(
                        engine ->
                                engine.slots()
                                        .all()
                                        .values()
                                        .forEach(EngineSlots.Slot::clearRunning));
        for (final AdapterUse use : running) {
            final PlannedEngine engine = engines.get(use.backend());
            if (engine != null && use.running() > 0) {
                engine.slots()
                        .find(new AdapterKey(use.model(), use.adapter()))
                        .ifPresent(
                                slot -> slot.setRunning(slot.running() + use.running(), nowNanos));
            }
        }
    }

    /** Counts newly started requests per adapter. */
    void addStarted(Collection<AdapterUse> started, long nowNanos) {
        for (final AdapterUse use : started) {
            popularity.add(new AdapterKey(use.model(), use.adapter()), use.started(), nowNanos);
        }
    }

    /** Returns the base models and adapters that can be used on an engine now. */
    List<HeldAdapter> usable(String backend, long nowNanos) {
        final PlannedEngine engine = engines.get(backend);
        return engine == null ? List.of() : engine.slots().usable(nowNanos);
    }

    /** Returns the engine's adapter slots, which the sender of orders updates. */
    Optional<EngineSlots> slotsOf(String backend) {
        return Optional.ofNullable(engines.get(backend)).map(engine -> engine.slots());
    }

    /** Returns why no engine can take an adapter now, and when to ask again. */
    AdapterRefusal refusal(AdapterRequest request, long nowNanos) {
        return AdapterRefusal.of(
                engines.values().stream()
                        .filter(engine -> EngineChoice.isCandidate(engine, request))
                        .toList(),
                engine -> choice.hasPlace(engine, nowNanos),
                nowNanos);
    }

    /** Returns where an adapter is or will be; empty if no engine with free slots has it. */
    Optional<AdapterPlacement> existing(AdapterRequest request, long nowNanos) {
        return choice.existing(request, requiredVersion(request.key()), nowNanos);
    }

    /**
     * Returns where an adapter is to be loaded; empty if no engine can take it now, or if the
     * weight store has no room and no engine has it in its own memory.
     */
    Optional<AdapterPlacement> load(AdapterRequest request, long nowNanos) {
        return choice.load(
                request, requiredVersion(request.key()), storeHasRoom(nowNanos), nowNanos);
    }

    private long requiredVersion(AdapterKey key) {
        return requiredVersions.getOrDefault(key, 0L);
    }

    /** Returns whether another load from the weight store may begin now. */
    boolean storeHasRoom(long nowNanos) {
        storeLoads.setEngineCount(engines.size());
        return storeLoads.hasRoom(nowNanos);
    }

    /** Returns the time in which the weight store serves a number of further loads. */
    long storeMillisFor(int furtherLoads) {
        return storeLoads.millisFor(furtherLoads);
    }

    /**
     * Records that an engine has accepted the order to load an adapter.
     *
     * @param isAwaited whether a request waits for the load
     */
    void accepted(AdapterPlacement placement, boolean isAwaited, long nowNanos) {
        storeLoads.accepted(placement.backend(), placement.key(), isAwaited, nowNanos);
        find(placement).ifPresent(engine -> engine.orderAccepted(nowNanos));
    }

    /** Records that a load was not accepted, so that the weight store does not serve it. */
    void notLoaded(AdapterPlacement placement) {
        storeLoads.end(placement.backend(), placement.key());
    }

    /** Records that an engine did not answer an order, or could not be reached with it. */
    void orderFailed(AdapterPlacement placement, long nowNanos) {
        find(placement).ifPresent(engine -> engine.orderFailed(nowNanos));
    }

    private Optional<PlannedEngine> find(AdapterPlacement placement) {
        return Optional.ofNullable(engines.get(placement.backend()));
    }

    /** Keeps an adapter that is being loaded from eviction until it is used, or until a time. */
    void keep(AdapterPlacement placement, long untilNanos) {
        find(placement)
                .flatMap(engine -> engine.slots().find(placement.key()))
                .ifPresent(slot -> slot.keepUntil(untilNanos));
    }

    /** Counts a refused request, so that its adapter is not evicted first once it is loaded. */
    void refused(AdapterKey key, long nowNanos) {
        popularity.add(key, 1, nowNanos);
    }

    /**
     * Returns a placement that loads an adapter of an overloaded engine on a second engine; empty
     * if none is needed, or if the weight store is busy with adapters that requests wait for.
     */
    Optional<AdapterPlacement> nextCopy(String service, long nowNanos) {
        storeLoads.setEngineCount(engines.size());
        if (storeLoads.isBusy(nowNanos)) {
            return Optional.empty();
        }
        final List<PlannedEngine> serving =
                engines.values().stream()
                        .filter(engine -> engine.announcement().service().equals(service))
                        .toList();
        return AdapterSpread.next(serving, nowNanos)
                .flatMap(copy -> choice.copy(copy, requiredVersion(copy.key()), nowNanos));
    }

    /** Keeps everything away from the engines of some failure domains, and only from those. */
    void evacuate(Set<String> failureDomains) {
        evacuatedDomains = Set.copyOf(failureDomains);
        engines.values()
                .forEach(
                        engine ->
                                engine.setEvacuated(
                                        evacuatedDomains.contains(
                                                engine.announcement().failureDomain())));
    }

    /**
     * Returns a placement that loads an adapter of an evacuated engine elsewhere; empty if none is
     * needed, or if the weight store is busy with adapters that requests wait for.
     */
    Optional<AdapterPlacement> nextEvacuated(long nowNanos) {
        storeLoads.setEngineCount(engines.size());
        if (evacuatedDomains.isEmpty() || storeLoads.isBusy(nowNanos)) {
            return Optional.empty();
        }
        return EvacuatedAdapters.next(engines.values(), popularity, nowNanos)
                .flatMap(
                        request ->
                                choice.load(
                                        request, requiredVersion(request.key()), true, nowNanos));
    }

    /** Returns the services of all engines. */
    Set<String> services() {
        return engines.values().stream()
                .map(engine -> engine.announcement().service())
                .collect(Collectors.toSet());
    }

    /** Reserves the adapter slot of a placement and marks the evicted adapter as unloading. */
    void commit(AdapterPlacement placement, long nowNanos) {
        final EngineSlots slots = engines.get(placement.backend()).slots();
        placement.evicted().flatMap(slots::find).ifPresent(EngineSlots.Slot::startUnloading);
        final long readyNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(placement.readyInMillis());
        slots.reserve(placement.key(), placement.version(), readyNanos, nowNanos);
        if (!placement.fromMemory()) {
            storeLoads.begin(placement.backend(), placement.key(), nowNanos);
        }
    }

    /** Returns the base model that an engine without one should load; empty if none fits. */
    Optional<String> missingModel(String backend) {
        final PlannedEngine engine = engines.get(backend);
        if (engine == null
                || engine.announcement().state() != BackendState.READY
                || !engine.slots().holdsNoModel()) {
            return Optional.empty();
        }
        return engine.profile().models().stream()
                .filter(model -> model.weightsMegabytes() <= engine.profile().weightsMegabytes())
                .min(Comparator.comparingLong(model -> enginesHolding(model.name())))
                .map(model -> model.name());
    }

    /** Returns the identifiers of all engines. */
    List<String> engines() {
        return List.copyOf(engines.keySet());
    }

    private long enginesHolding(String model) {
        return engines.values().stream().filter(engine -> engine.slots().holdsModel(model)).count();
    }
}
