package org.crocushaven.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.ingress.EngineProfile;
import org.crocushaven.observability.EventLine;

/**
 * Places adapters and base models on engines: holds the planner, its orders and its grants, and
 * keeps the planner's view of the engines up to date. Used on one event loop only.
 */
final class EnginePlacement {
    /** Loads of adapters of evacuated engines that are ordered at a time. */
    private static final int MAXIMUM_EVACUATED_LOADS = 8;

    private final BackendRegistry registry;
    private final NanoClock clock;
    private final long ordersFromNanos;
    private final AdapterPlanner planner = new AdapterPlanner();
    private final EngineOrderQueues orderQueues;
    private final AdapterLoads loads;
    private final AdapterGrants grants;
    private final Map<String, EngineProfile> profiles = new HashMap<>();
    private final ModelLoadLimiter modelLoadLimiter = new ModelLoadLimiter();

    /**
     * Creates the placement of a leader that has sent no orders yet.
     *
     * @param orders opens the orders to one start of an engine
     * @param ordersFromNanos time before which no orders are sent
     */
    EnginePlacement(
            Function<BackendAnnouncement, EngineOrders> orders,
            DelayedTasks tasks,
            BackendRegistry registry,
            NanoClock clock,
            long ordersFromNanos) {
        this.registry = registry;
        this.clock = clock;
        this.ordersFromNanos = ordersFromNanos;
        this.orderQueues = new EngineOrderQueues(orders, registry);
        this.loads = new AdapterLoads(planner, orderQueues, clock);
        this.grants = new AdapterGrants(planner, loads, tasks, clock, ordersFromNanos);
    }

    /** Applies an engine's announcement. */
    void announced(BackendAnnouncement announcement, EngineProfile profile) {
        profiles.put(announcement.backend(), profile);
        planner.announced(announcement, profile, clock.nanoTime());
    }

    /** Removes an engine that has ended. */
    void remove(String backend) {
        planner.remove(backend);
        profiles.remove(backend);
        orderQueues.remove(backend);
    }

    /** Applies the adapter versions that the operator requires. */
    void requireVersions(Collection<AdapterVersion> versions) {
        planner.requireVersions(versions);
    }

    /** Applies the requests in flight at engines and the running requests of adapters. */
    void updateUse(Map<String, Integer> loadsOfEngines, Collection<AdapterUse> running) {
        planner.engines()
                .forEach(
                        backend ->
                                planner.setRequests(
                                        backend, loadsOfEngines.getOrDefault(backend, 0)));
        planner.updateUse(running, clock.nanoTime());
    }

    /** Counts the requests for adapters that a gateway started since its last report. */
    void addStarted(Collection<AdapterUse> started) {
        planner.addStarted(started, clock.nanoTime());
    }

    /** Keeps everything away from the engines of some failure domains, and only from those. */
    void evacuate(Set<String> failureDomains) {
        planner.evacuate(failureDomains);
    }

    /** Returns the base models and adapters that can be used on an engine now. */
    List<HeldAdapter> usable(String backend) {
        return planner.usable(backend, clock.nanoTime());
    }

    /** Finds an engine that holds an adapter, or loads the adapter on one. */
    CompletableFuture<AdapterGrant> place(AdapterRequest request) {
        return grants.request(request);
    }

    /**
     * Requests due reports, orders base models for engines that hold none, and loads adapters of
     * overloaded engines on a second engine.
     */
    void tick() {
        final long nowNanos = clock.nanoTime();
        if (nowNanos - ordersFromNanos < 0) {
            return;
        }
        planner.enginesDueForReport(nowNanos).forEach(this::requestReport);
        grants.tick();
        for (final String backend : planner.engines()) {
            planner.missingModel(backend).ifPresent(model -> loadModel(backend, model, nowNanos));
        }
        planner.services()
                .forEach(service -> planner.nextCopy(service, nowNanos).ifPresent(this::loadCopy));
        loadEvacuated(nowNanos);
    }

    /** Refuses what waits and stops sending orders. */
    void close() {
        grants.close();
        orderQueues.close();
    }

    /** Loads adapters of evacuated engines elsewhere, before requests ask for them there. */
    private void loadEvacuated(long nowNanos) {
        for (int count = 0; count < MAXIMUM_EVACUATED_LOADS; count++) {
            final Optional<AdapterPlacement> chosen = planner.nextEvacuated(nowNanos);
            if (chosen.isEmpty()) {
                return;
            }
            EventLine.of("adapter-evacuated")
                    .with("backend", chosen.get().backend())
                    .with("adapter", chosen.get().key().adapter())
                    .info();
            loads.loadAhead(chosen.get());
        }
    }

    /** Loads an adapter on a second engine; no request waits for this load. */
    private void loadCopy(AdapterPlacement chosen) {
        EventLine.of("adapter-spread")
                .with("backend", chosen.backend())
                .with("adapter", chosen.key().adapter())
                .info();
        loads.loadAhead(chosen);
    }

    /** Requests an engine's report; it is used only if no order was submitted meanwhile. */
    private void requestReport(String backend) {
        if (registry.isSilent(backend, clock.nanoTime())) {
            return;
        }
        orderQueues
                .of(backend)
                .requestReport()
                .thenAccept(
                        report ->
                                report.ifPresent(
                                        found ->
                                                planner.reported(
                                                        backend, found, clock.nanoTime())));
    }

    private void loadModel(String backend, String model, long nowNanos) {
        final EngineOrders queue = orderQueues.of(backend);
        final EngineProfile profile = profiles.get(backend);
        final double rate = profile == null ? 0 : profile.loadsPerSecond();
        if (queue.isBusy() || !modelLoadLimiter.tryLoad(backend, rate, nowNanos)) {
            return;
        }
        EventLine.of("model-loading").with("backend", backend).with("model", model).info();
        queue.submit(EngineOrder.load(model, "", OptionalLong.empty()));
    }
}
