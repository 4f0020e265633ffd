package org.crocushaven.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.crocushaven.ingress.BaseModel;
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

    /** Half-life of the count of an adapter's requests. */
    private static final double POPULARITY_HALF_LIFE_NANOS = 15e9;

    /** Asked to come back when no engine can take an adapter, in milliseconds. */
    private static final long RETRY_MILLIS = 150;

    private final Map<String, Engine> engines = new HashMap<>();
    private final Map<AdapterKey, Popularity> popularity = new HashMap<>();
    private final Map<AdapterKey, Long> namedVersions = new HashMap<>();
    private final AdapterLoadTime loadTime = new AdapterLoadTime();

    /** Takes in an engine's announcement. */
    void announced(BackendAnnouncement announcement, EngineProfile profile, long nowNanos) {
        final Engine known = engines.get(announcement.backend());
        final boolean restarted =
                known != null && known.announcement.startedMillis() != announcement.startedMillis();
        final Engine engine = known == null || restarted ? new Engine(announcement) : known;
        engines.put(announcement.backend(), engine);
        engine.announcement = announcement;
        engine.profile = profile;
        if (announcement.holdsModels()) {
            engine.slots.announced(announcement.held(), nowNanos);
        }
    }

    /** Forgets an engine. */
    void remove(String backend) {
        engines.remove(backend);
    }

    /** Takes in the report of an engine that has carried out all orders given to it. */
    void reported(String backend, EngineReport report, long nowNanos) {
        final Engine engine = engines.get(backend);
        if (engine == null) {
            return;
        }
        engine.slots.reported(report, nowNanos);
        for (final HeldAdapter pending : report.pending()) {
            engine.slots.find(AdapterKey.of(pending)).ifPresent(slot -> extend(slot, nowNanos));
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
                    if (engine.slots.wantsReport(nowNanos)) {
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
        final Engine engine = engines.get(backend);
        if (engine != null) {
            engine.requests = requests;
        }
    }

    /** Takes in the running requests by adapter of all gateways, and how many were started. */
    void used(Collection<AdapterUse> running, Collection<AdapterUse> started, long nowNanos) {
        engines.values()
                .forEach(engine -> engine.slots.all().values().forEach(EngineSlots.Slot::idle));
        for (final AdapterUse use : running) {
            final Engine engine = engines.get(use.backend());
            if (engine != null && use.running() > 0) {
                engine.slots
                        .find(new AdapterKey(use.model(), use.adapter()))
                        .ifPresent(slot -> slot.used(slot.running() + use.running(), nowNanos));
            }
        }
        for (final AdapterUse use : started) {
            count(new AdapterKey(use.model(), use.adapter()), use.started(), nowNanos);
        }
    }

    /** Returns what can be used on an engine now. */
    List<HeldAdapter> usable(String backend, long nowNanos) {
        final Engine engine = engines.get(backend);
        return engine == null ? List.of() : engine.slots.usable(nowNanos);
    }

    /** Returns the engine's places, for the giver of orders. */
    Optional<EngineSlots> slotsOf(String backend) {
        return Optional.ofNullable(engines.get(backend)).map(engine -> engine.slots);
    }

    /** Returns when a caller may ask again for whom no place was found, in milliseconds. */
    long retryMillis() {
        return RETRY_MILLIS;
    }

    /** Returns where an adapter can be used or is to be loaded; empty when nowhere now. */
    Optional<AdapterPlacement> place(AdapterAsk ask, long nowNanos) {
        final AdapterKey key = new AdapterKey(ask.model(), ask.adapter());
        final long version = namedVersions.getOrDefault(key, 0L);
        final Optional<AdapterPlacement> present = presentPlace(ask, key, version, nowNanos);
        return present.isPresent() ? present : newPlace(ask, key, version, nowNanos);
    }

    /** Takes the place that a placement needs and lets its victim leave. */
    void commit(AdapterPlacement placement, long nowNanos) {
        final EngineSlots slots = engines.get(placement.backend()).slots;
        placement.victim().flatMap(slots::find).ifPresent(EngineSlots.Slot::startLeaving);
        final long readyNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(placement.readyInMillis());
        slots.reserve(placement.key(), placement.version(), readyNanos, nowNanos);
        if (!placement.fromMemory()) {
            loadTime.hasBegun(nowNanos);
        }
    }

    /** Returns a base model that an engine without any should load; empty when none fits. */
    Optional<String> missingModel(String backend) {
        final Engine engine = engines.get(backend);
        if (engine == null
                || engine.announcement.state() != BackendState.READY
                || !engine.slots.isEmpty()) {
            return Optional.empty();
        }
        return engine.profile.models().stream()
                .filter(model -> model.weightsMegabytes() <= engine.profile.weightsMegabytes())
                .min(Comparator.comparingLong(model -> holders(model.name())))
                .map(model -> model.name());
    }

    /** Returns all engines' identifiers. */
    List<String> engines() {
        return List.copyOf(engines.keySet());
    }

    private long holders(String model) {
        return engines.values().stream().filter(engine -> engine.slots.holdsModel(model)).count();
    }

    private Optional<AdapterPlacement> presentPlace(
            AdapterAsk ask, AdapterKey key, long version, long nowNanos) {
        AdapterPlacement best = null;
        double bestCost = Double.MAX_VALUE;
        for (final Engine engine : engines.values()) {
            final Optional<EngineSlots.Slot> slot = engine.slots.find(key);
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
                                engine.announcement.backend(),
                                key,
                                slot.get().version(),
                                Optional.empty(),
                                false,
                                true,
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
        for (final Engine engine : engines.values()) {
            final int inTransit = engine.slots.inTransit(nowNanos);
            if (!isCandidate(engine, ask)
                    || !engine.slots.isVerified()
                    || engine.slots.find(key).isPresent()
                    || inTransit >= EngineSlots.MAXIMUM_IN_TRANSIT) {
                continue;
            }
            final boolean hasRoom = engine.slots.taken() < engine.places();
            final Optional<AdapterKey> victim =
                    hasRoom ? Optional.empty() : victim(engine, nowNanos);
            if (!hasRoom && victim.isEmpty()) {
                continue;
            }
            final boolean remembered = engine.slots.remembers(key) && version == 0;
            final double cost =
                    engine.load()
                            - (remembered ? REMEMBERED_GAIN : 0)
                            + TRANSIT_WEIGHT * inTransit
                            + VICTIM_WEIGHT
                                    * victim.map(leaving -> popularity(leaving, nowNanos))
                                            .orElse(0.0);
            if (cost < bestCost) {
                bestCost = cost;
                best =
                        new AdapterPlacement(
                                engine.announcement.backend(),
                                key,
                                version,
                                victim,
                                true,
                                remembered,
                                remembered ? REMEMBERED_MILLIS : loadTime.millis(nowNanos));
            }
        }
        return Optional.ofNullable(best);
    }

    private boolean isCandidate(Engine engine, AdapterAsk ask) {
        return engine.announcement.state() == BackendState.READY
                && engine.announcement.service().equals(ask.service())
                && engine.slots.holdsModel(ask.model())
                && !ask.avoided().contains(engine.announcement.backend());
    }

    /** Returns the idle adapter that is wanted least; one of an old version before all others. */
    private Optional<AdapterKey> victim(Engine engine, long nowNanos) {
        AdapterKey best = null;
        double bestWanted = Double.MAX_VALUE;
        for (final Map.Entry<AdapterKey, EngineSlots.Slot> entry : engine.slots.all().entrySet()) {
            final EngineSlots.Slot slot = entry.getValue();
            if (slot.running() > 0
                    || !slot.isConfirmed()
                    || !slot.isUsable(nowNanos)
                    || nowNanos - slot.usedNanos() < PROTECTED_NANOS) {
                continue;
            }
            final boolean old = slot.version() < namedVersions.getOrDefault(entry.getKey(), 0L);
            final double wanted = old ? -1 : popularity(entry.getKey(), nowNanos);
            if (wanted < bestWanted) {
                bestWanted = wanted;
                best = entry.getKey();
            }
        }
        return Optional.ofNullable(best);
    }

    private void count(AdapterKey key, int requests, long nowNanos) {
        popularity.computeIfAbsent(key, name -> new Popularity()).add(requests, nowNanos);
    }

    private double popularity(AdapterKey key, long nowNanos) {
        final Popularity known = popularity.get(key);
        return known == null ? 0 : known.at(nowNanos);
    }

    private static final class Engine {
        private final EngineSlots slots = new EngineSlots();
        private BackendAnnouncement announcement;
        private EngineProfile profile;
        private int requests;

        private Engine(BackendAnnouncement announcement) {
            this.announcement = announcement;
        }

        /** Returns how many adapters find room beside the base models that it holds. */
        private int places() {
            double room = profile.weightsMegabytes();
            double largest = 0;
            for (final BaseModel model : profile.models()) {
                if (slots.holdsModel(model.name())) {
                    room -= model.weightsMegabytes();
                    largest = Math.max(largest, model.adapterMegabytes());
                }
            }
            return largest <= 0
                    ? profile.adapterSlots()
                    : (int) Math.min(profile.adapterSlots(), Math.max(0, room / largest));
        }

        /** Returns the part of its slots that is taken; more than 1 when requests wait. */
        private double load() {
            return requests / (double) Math.max(1, announcement.slots());
        }
    }

    private static final class Popularity {
        private double count;
        private long updatedNanos;

        private void add(int requests, long nowNanos) {
            count = at(nowNanos) + requests;
            updatedNanos = nowNanos;
        }

        private double at(long nowNanos) {
            return count * Math.pow(2, (updatedNanos - nowNanos) / POPULARITY_HALF_LIFE_NANOS);
        }
    }
}
