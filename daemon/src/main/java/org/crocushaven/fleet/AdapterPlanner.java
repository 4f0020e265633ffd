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
 * Decides on which engine an adapter is loaded and which one leaves for it.
 *
 * <p>Answers load that shifts between many adapters on few places: an adapter goes to the engine
 * with the least work that has a place, or whose least wanted idle adapter can leave. Not
 * thread-safe; times are on a monotonic clock.
 */
final class AdapterPlanner {
    /** An adapter that was used this recently does not leave for another. */
    private static final long PROTECTED_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

    /** Weight of one adapter on its way against an engine full of requests. */
    private static final double TRANSIT_WEIGHT = 0.15;

    /** Weight of the wanted-ness of the adapter that would leave. */
    private static final double VICTIM_WEIGHT = 0.05;

    /** Gain where an adapter comes from the engine's own memory. */
    private static final double REMEMBERED_GAIN = 0.5;

    /** Time that an adapter takes from the engine's own memory, a tenth of the usual one. */
    private static final long REMEMBERED_MILLIS = 30;

    /** Wait for an adapter that weighs as much as an engine full of requests. */
    private static final double USUAL_LOAD_NANOS = 250e6;

    private final Map<String, PlannedEngine> engines = new HashMap<>();
    private final AdapterPopularity popularity = new AdapterPopularity();
    private final Map<AdapterKey, Long> namedVersions = new HashMap<>();
    private final AdapterLoadTime loadTime = new AdapterLoadTime();

    /** Takes in an engine's announcement. */
    void announced(BackendAnnouncement announcement, EngineProfile profile, long nowNanos) {
        final PlannedEngine known = engines.get(announcement.backend());
        final boolean restarted =
                known != null
                        && known.announcement().startedMillis() != announcement.startedMillis();
        final PlannedEngine engine =
                known == null || restarted ? new PlannedEngine(announcement, profile) : known;
        engines.put(announcement.backend(), engine);
        engine.announced(announcement, profile);
        if (announcement.holdsModels()) {
            engine.slots().announced(announcement.held(), nowNanos);
        }
    }

    /** Forgets an engine. */
    void remove(String backend) {
        engines.remove(backend);
    }

    /** Takes in the report of an engine that has carried out all orders given to it. */
    void reported(String backend, EngineReport report, long nowNanos) {
        final PlannedEngine engine = engines.get(backend);
        if (engine == null) {
            return;
        }
        engine.slots().reported(report, nowNanos);
        for (final HeldAdapter pending : report.pending()) {
            engine.slots().find(AdapterKey.of(pending)).ifPresent(slot -> extend(slot, nowNanos));
        }
    }

    private void extend(EngineSlots.Slot slot, long nowNanos) {
        if (!slot.isAccepted()) {
            return;
        }
        final long overdueMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - slot.readyNanos());
        final long longerMillis = loadTime.isOnItsWay(overdueMillis);
        if (longerMillis > 0) {
            slot.ready(nowNanos + TimeUnit.MILLISECONDS.toNanos(longerMillis));
        }
    }

    /** Returns the engines whose report is wanted. */
    List<String> wantingReport(long nowNanos) {
        final List<String> wanting = new ArrayList<>();
        engines.forEach(
                (backend, engine) -> {
                    if (engine.slots().wantsReport(nowNanos)) {
                        wanting.add(backend);
                    }
                });
        return wanting;
    }

    /** Takes in the versions that the operator named. */
    void versionsNamed(Collection<AdapterVersion> versions) {
        versions.forEach(
                named ->
                        namedVersions.put(
                                new AdapterKey(named.model(), named.adapter()), named.version()));
    }

    /** Takes in the requests under way at an engine, over all gateways. */
    void loaded(String backend, int requests) {
        final PlannedEngine engine = engines.get(backend);
        if (engine != null) {
            engine.loaded(requests);
        }
    }

    /** Takes in the running requests by adapter of all gateways, and how many were started. */
    void used(Collection<AdapterUse> running, Collection<AdapterUse> started, long nowNanos) {
        engines.values()
                .forEach(engine -> engine.slots().all().values().forEach(EngineSlots.Slot::idle));
        for (final AdapterUse use : running) {
            final PlannedEngine engine = engines.get(use.backend());
            if (engine != null && use.running() > 0) {
                engine.slots()
                        .find(new AdapterKey(use.model(), use.adapter()))
                        .ifPresent(slot -> slot.used(slot.running() + use.running(), nowNanos));
            }
        }
        for (final AdapterUse use : started) {
            popularity.add(new AdapterKey(use.model(), use.adapter()), use.started(), nowNanos);
        }
    }

    /** Returns what can be used on an engine now. */
    List<HeldAdapter> usable(String backend, long nowNanos) {
        final PlannedEngine engine = engines.get(backend);
        return engine == null ? List.of() : engine.slots().usable(nowNanos);
    }

    /** Returns whether all that an engine holds or was promised finds a place. */
    boolean fits(String backend) {
        return Optional.ofNullable(engines.get(backend)).filter(PlannedEngine::fits).isPresent();
    }

    /** Returns the engine's places, for the giver of orders. */
    Optional<EngineSlots> slotsOf(String backend) {
        return Optional.ofNullable(engines.get(backend)).map(engine -> engine.slots());
    }

    /** Returns why no place was found for an adapter, and when to ask again. */
    AdapterRefusal refusal(AdapterAsk ask, long nowNanos) {
        return AdapterRefusal.of(
                engines.values().stream().filter(engine -> isCandidate(engine, ask)).toList(),
                nowNanos);
    }

    /** Returns where an adapter can be used or is to be loaded; empty when nowhere now. */
    Optional<AdapterPlacement> place(AdapterAsk ask, long nowNanos) {
        final AdapterKey key = new AdapterKey(ask.model(), ask.adapter());
        final long version = namedVersions.getOrDefault(key, 0L);
        final Optional<AdapterPlacement> present = presentPlace(ask, key, version, nowNanos);
        return present.isPresent() ? present : newPlace(ask, key, version, nowNanos);
    }

    /**
     * Returns a load that gives a busy engine relief; empty when none is needed, or when the store
     * is busy with adapters that requests wait for.
     */
    Optional<AdapterPlacement> relief(String service, long nowNanos) {
        loadTime.engines(engines.size());
        if (loadTime.isBusy(nowNanos)) {
            return Optional.empty();
        }
        final List<PlannedEngine> serving =
                engines.values().stream()
                        .filter(engine -> engine.announcement().service().equals(service))
                        .toList();
        return AdapterSpread.next(serving, nowNanos).flatMap(move -> reliefBy(move, nowNanos));
    }

    private Optional<AdapterPlacement> reliefBy(AdapterSpread.Move move, long nowNanos) {
        final PlannedEngine target = move.target();
        final Optional<AdapterKey> victim =
                target.hasRoom() ? Optional.empty() : victim(target, nowNanos);
        final boolean worthIt =
                target.hasRoom()
                        || victim.isPresent()
                                && popularity.of(victim.get(), nowNanos)
                                        < popularity.of(move.key(), nowNanos) / 2;
        if (!worthIt) {
            return Optional.empty();
        }
        final boolean remembered = target.slots().remembers(move.key()) && move.version() == 0;
        return Optional.of(
                new AdapterPlacement(
                        target.backend(),
                        move.key(),
                        namedVersions.getOrDefault(move.key(), 0L),
                        victim,
                        true,
                        remembered,
                        remembered ? 0 : loadTime.untilTurnMillis(nowNanos),
                        remembered ? REMEMBERED_MILLIS : loadTime.millis()));
    }

    /** Returns the services of all engines. */
    Set<String> services() {
        return engines.values().stream()
                .map(engine -> engine.announcement().service())
                .collect(Collectors.toSet());
    }

    /** Takes the place that a placement needs and lets its victim leave. */
    void commit(AdapterPlacement placement, long nowNanos) {
        final EngineSlots slots = engines.get(placement.backend()).slots();
        placement.victim().flatMap(slots::find).ifPresent(EngineSlots.Slot::startLeaving);
        final long readyNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(placement.readyInMillis());
        slots.reserve(
                placement.key(), placement.version(), placement.victim(), readyNanos, nowNanos);
        if (!placement.fromMemory()) {
            loadTime.planned(nowNanos);
        }
    }

    /** Returns a base model that an engine without any should load; empty when none fits. */
    Optional<String> missingModel(String backend) {
        final PlannedEngine engine = engines.get(backend);
        if (engine == null
                || engine.announcement().state() != BackendState.READY
                || !engine.slots().isEmpty()) {
            return Optional.empty();
        }
        return engine.profile().models().stream()
                .filter(model -> model.weightsMegabytes() <= engine.profile().weightsMegabytes())
                .min(Comparator.comparingLong(model -> holders(model.name())))
                .map(model -> model.name());
    }

    /** Returns all engines' identifiers. */
    List<String> engines() {
        return List.copyOf(engines.keySet());
    }

    private long holders(String model) {
        return engines.values().stream().filter(engine -> engine.slots().holdsModel(model)).count();
    }

    private Optional<AdapterPlacement> presentPlace(
            AdapterAsk ask, AdapterKey key, long version, long nowNanos) {
        AdapterPlacement best = null;
        double bestCost = Double.MAX_VALUE;
        for (final PlannedEngine engine : engines.values()) {
            final Optional<EngineSlots.Slot> slot = engine.slots().find(key);
            final boolean usable =
                    isCandidate(engine, ask)
                            && slot.isPresent()
                            && !slot.get().isLeaving()
                            && slot.get().version() >= version;
            if (!usable || engine.load() >= 1) {
                continue;
            }
            final long wait = Math.max(0, slot.get().readyNanos() - nowNanos);
            final double cost = engine.load() + wait / USUAL_LOAD_NANOS;
            if (cost < bestCost) {
                bestCost = cost;
                best =
                        new AdapterPlacement(
                                engine.backend(),
                                key,
                                slot.get().version(),
                                Optional.empty(),
                                false,
                                true,
                                0,
                                TimeUnit.NANOSECONDS.toMillis(wait));
            }
        }
        return Optional.ofNullable(best);
    }

    private Optional<AdapterPlacement> newPlace(
            AdapterAsk ask, AdapterKey key, long version, long nowNanos) {
        loadTime.engines(engines.size());
        AdapterPlacement best = null;
        double bestCost = Double.MAX_VALUE;
        for (final PlannedEngine engine : engines.values()) {
            if (!isCandidate(engine, ask)
                    || !engine.takesOrders(nowNanos)
                    || engine.slots().find(key).isPresent()) {
                continue;
            }
            final Optional<AdapterKey> victim =
                    engine.hasRoom() ? Optional.empty() : victim(engine, nowNanos);
            if (!engine.hasRoom() && victim.isEmpty()) {
                continue;
            }
            final boolean remembered = engine.slots().remembers(key) && version == 0;
            final double cost =
                    engine.load()
                            - (remembered ? REMEMBERED_GAIN : 0)
                            + TRANSIT_WEIGHT * engine.slots().inTransit(nowNanos)
                            + VICTIM_WEIGHT
                                    * victim.map(leaving -> popularity.of(leaving, nowNanos))
                                            .orElse(0.0);
            if (cost < bestCost) {
                bestCost = cost;
                best =
                        new AdapterPlacement(
                                engine.backend(),
                                key,
                                version,
                                victim,
                                true,
                                remembered,
                                remembered ? 0 : loadTime.untilTurnMillis(nowNanos),
                                remembered ? REMEMBERED_MILLIS : loadTime.millis());
            }
        }
        return Optional.ofNullable(best);
    }

    private boolean isCandidate(PlannedEngine engine, AdapterAsk ask) {
        return engine.serves(ask.service(), ask.model())
                && !ask.avoided().contains(engine.backend());
    }

    /** Returns the idle adapter that is wanted least; one of an old version before all others. */
    private Optional<AdapterKey> victim(PlannedEngine engine, long nowNanos) {
        AdapterKey best = null;
        double bestWanted = Double.MAX_VALUE;
        for (final Map.Entry<AdapterKey, EngineSlots.Slot> entry :
                engine.slots().all().entrySet()) {
            final EngineSlots.Slot slot = entry.getValue();
            if (slot.running() > 0
                    || !slot.isConfirmed()
                    || !slot.isUsable(nowNanos)
                    || nowNanos - slot.usedNanos() < PROTECTED_NANOS) {
                continue;
            }
            final boolean old = slot.version() < namedVersions.getOrDefault(entry.getKey(), 0L);
            final double wanted = old ? -1 : popularity.of(entry.getKey(), nowNanos);
            if (wanted < bestWanted) {
                bestWanted = wanted;
                best = entry.getKey();
            }
        }
        return Optional.ofNullable(best);
    }
}
