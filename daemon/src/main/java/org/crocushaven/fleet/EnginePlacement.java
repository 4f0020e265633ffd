package org.crocushaven.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.ingress.EngineProfile;
import org.crocushaven.observability.EventLine;

/**
 * Loads adapters and base models on engines: queries the planner, sends the orders, and updates the
 * planner's view of the engines with their answers. Used on one event loop only.
 */
final class EnginePlacement {
    /** Engines that are tried after the first one for one request. */
    private static final int MAXIMUM_FALLBACKS = 2;

    /** Delay before a queued load is tried again while the engine's report is pending. */
    private static final long REPORT_MILLIS = 100;

    /** Maximum retries of a queued load; engines are asked for reports every 200 ms. */
    private static final int MAXIMUM_RETRIES = 3;

    private final Function<BackendAnnouncement, EngineOrders> orders;
    private final DelayedTasks tasks;
    private final BackendRegistry registry;
    private final NanoClock clock;
    private final long ordersFromNanos;
    private final AdapterPlanner planner = new AdapterPlanner();
    private final Map<String, EngineOrders> orderQueues = new HashMap<>();
    private final Map<String, EngineProfile> profiles = new HashMap<>();
    private final ModelLoadLimiter modelLoadLimiter = new ModelLoadLimiter();
    private boolean closed;

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
        this.orders = orders;
        this.tasks = tasks;
        this.registry = registry;
        this.clock = clock;
        this.ordersFromNanos = ordersFromNanos;
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
        final EngineOrders removed = orderQueues.remove(backend);
        if (removed != null) {
            removed.close();
        }
    }

    /** Applies the adapter versions that the operator requires. */
    void requireVersions(Collection<AdapterVersion> versions) {
        planner.requireVersions(versions);
    }

    /** Applies the requests in flight at engines and the running requests of adapters. */
    void updateUse(Map<String, Integer> loads, Collection<AdapterUse> running) {
        planner.engines()
                .forEach(backend -> planner.setRequests(backend, loads.getOrDefault(backend, 0)));
        planner.updateUse(running, clock.nanoTime());
    }

    /** Counts the requests for adapters that a gateway started since its last report. */
    void addStarted(Collection<AdapterUse> started) {
        planner.addStarted(started, clock.nanoTime());
    }

    /** Returns the base models and adapters that can be used on an engine now. */
    List<HeldAdapter> usable(String backend) {
        return planner.usable(backend, clock.nanoTime());
    }

    /** Finds an engine that holds an adapter, or loads the adapter on one. */
    CompletableFuture<AdapterGrant> place(AdapterRequest request) {
        markAvoidedUnverified(request);
        return place(request, MAXIMUM_FALLBACKS);
    }

    /** Places an adapter; if an engine does not accept the order, another one is tried. */
    private CompletableFuture<AdapterGrant> place(AdapterRequest request, int fallbacksLeft) {
        final long nowNanos = clock.nanoTime();
        final Optional<AdapterPlacement> placement = planner.place(request, nowNanos);
        if (placement.isEmpty()) {
            return refuse(request, "no-place");
        }
        final AdapterPlacement chosen = placement.get();
        if (!chosen.needsLoad()) {
            return CompletableFuture.completedFuture(
                    new AdapterGrant(chosen.backend(), chosen.readyInMillis(), chosen.version()));
        }
        if (nowNanos - ordersFromNanos < 0) {
            return refuse(request, "no-orders-yet");
        }
        planner.commit(chosen, nowNanos);
        return chosen.queueDelayMillis() > 0
                ? loadLater(chosen)
                : loadNow(chosen, request, fallbacksLeft);
    }

    private CompletableFuture<AdapterGrant> loadNow(
            AdapterPlacement chosen, AdapterRequest request, int fallbacksLeft) {
        return load(chosen)
                .thenCompose(
                        outcome -> {
                            if (outcome == OrderOutcome.ACCEPTED) {
                                return CompletableFuture.completedFuture(
                                        new AdapterGrant(
                                                chosen.backend(),
                                                chosen.loadMillis(),
                                                chosen.version()));
                            }
                            if (outcome == OrderOutcome.HOLDS) {
                                return CompletableFuture.completedFuture(
                                        new AdapterGrant(chosen.backend(), 0, chosen.version()));
                            }
                            return fallbacksLeft > 0
                                    ? place(request.excluding(chosen.backend()), fallbacksLeft - 1)
                                    : refuse(request, "order-" + outcome);
                        });
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
        for (final String backend : planner.engines()) {
            planner.missingModel(backend).ifPresent(model -> loadModel(backend, model, nowNanos));
        }
        planner.services()
                .forEach(service -> planner.nextCopy(service, nowNanos).ifPresent(this::loadCopy));
    }

    /** Stops sending orders. */
    void close() {
        closed = true;
        orderQueues.values().forEach(EngineOrders::close);
    }

    /** Loads an adapter on a second engine; no request waits for this load. */
    private void loadCopy(AdapterPlacement chosen) {
        EventLine.of("adapter-spread")
                .with("backend", chosen.backend())
                .with("adapter", chosen.key().adapter())
                .info();
        planner.commit(chosen, clock.nanoTime());
        load(chosen);
    }

    private CompletableFuture<AdapterGrant> refuse(AdapterRequest request, String reason) {
        return CompletableFuture.completedFuture(refusedGrant(request, reason));
    }

    private AdapterGrant refusedGrant(AdapterRequest request, String reason) {
        final AdapterRefusal refusal = planner.refusal(request, clock.nanoTime());
        EventLine.of("adapter-refused")
                .with("service", request.service())
                .with("adapter", request.adapter())
                .with("reason", reason)
                .with("avoided", request.excludedBackends().size())
                .with("candidates", refusal.candidates())
                .with("unverified", refusal.unverified())
                .with("crowded", refusal.crowded())
                .with("full", refusal.full())
                .with("retry_ms", refusal.retryMillis())
                .info();
        return AdapterGrant.none(refusal.retryMillis());
    }

    /** Grants an adapter whose load is ordered once its queue delay is over. */
    private CompletableFuture<AdapterGrant> loadLater(AdapterPlacement chosen) {
        scheduleQueued(chosen, chosen.queueDelayMillis(), MAXIMUM_RETRIES);
        return CompletableFuture.completedFuture(
                new AdapterGrant(chosen.backend(), chosen.readyInMillis(), chosen.version()));
    }

    private void scheduleQueued(AdapterPlacement chosen, long delayMillis, int retriesLeft) {
        tasks.runAfter(delayMillis, () -> orderQueued(chosen, retriesLeft));
    }

    /**
     * Orders a queued load after its delay, if the engine's adapters are known and fit its slots.
     *
     * @param retriesLeft how many more times the load may be delayed to wait for the engine's
     *     report; the slot is released after the last one
     */
    private void orderQueued(AdapterPlacement chosen, int retriesLeft) {
        if (!isQueued(chosen)) {
            return;
        }
        final EngineSlots slots = planner.slotsOf(chosen.backend()).orElseThrow();
        chosen.evicted().flatMap(slots::find).ifPresent(EngineSlots.Slot::startUnloading);
        if (slots.isVerified() && planner.fits(chosen.backend())) {
            load(chosen);
        } else if (retriesLeft > 0) {
            slots.markUnverified();
            scheduleQueued(chosen, REPORT_MILLIS, retriesLeft - 1);
        } else {
            slots.release(chosen.key());
        }
    }

    private boolean isQueued(AdapterPlacement chosen) {
        return !closed
                && planner.slotsOf(chosen.backend())
                        .flatMap(slots -> slots.find(chosen.key()))
                        .filter(EngineSlots.Slot::isQueued)
                        .isPresent();
    }

    /**
     * Unloads the evicted adapter, if any, and orders the load once the engine has answered the
     * unload with {@link OrderOutcome#HOLDS}.
     */
    private CompletableFuture<OrderOutcome> load(AdapterPlacement chosen) {
        planner.slotsOf(chosen.backend())
                .flatMap(slots -> slots.find(chosen.key()))
                .ifPresent(EngineSlots.Slot::ordered);
        final EngineOrders queue = orderQueueOf(chosen.backend());
        final long orderedNanos = clock.nanoTime();
        final CompletableFuture<OrderOutcome> evictionOutcome =
                chosen.evicted()
                        .map(evicted -> unload(queue, chosen, evicted))
                        .orElse(CompletableFuture.completedFuture(OrderOutcome.HOLDS));
        return evictionOutcome.thenCompose(
                outcome -> {
                    if (outcome != OrderOutcome.HOLDS) {
                        planner.slotsOf(chosen.backend())
                                .ifPresent(slots -> slots.release(chosen.key()));
                        return CompletableFuture.completedFuture(OrderOutcome.REFUSED);
                    }
                    return queue.submit(
                                    EngineOrder.load(
                                            chosen.key().model(),
                                            chosen.key().adapter(),
                                            chosen.version() > 0
                                                    ? OptionalLong.of(chosen.version())
                                                    : OptionalLong.empty()))
                            .whenComplete(
                                    (loaded, failure) ->
                                            loadAnswered(chosen, loaded, orderedNanos));
                });
    }

    /** Requests an engine's report; it is used only if no order was submitted meanwhile. */
    private void requestReport(String backend) {
        if (registry.isSilent(backend, clock.nanoTime())) {
            return;
        }
        orderQueueOf(backend)
                .requestReport()
                .thenAccept(
                        report ->
                                report.ifPresent(
                                        found ->
                                                planner.reported(
                                                        backend, found, clock.nanoTime())));
    }

    /** Marks engines as unverified that are believed to hold the adapter but did not serve it. */
    private void markAvoidedUnverified(AdapterRequest request) {
        final AdapterKey key = new AdapterKey(request.model(), request.adapter());
        for (final String backend : request.excludedBackends()) {
            planner.slotsOf(backend)
                    .filter(slots -> slots.find(key).isPresent())
                    .ifPresent(EngineSlots::markUnverified);
        }
    }

    private CompletableFuture<OrderOutcome> unload(
            EngineOrders queue, AdapterPlacement chosen, AdapterKey evicted) {
        return queue.submit(EngineOrder.unload(evicted.model(), evicted.adapter()))
                .whenComplete(
                        (outcome, failure) ->
                                planner.slotsOf(chosen.backend())
                                        .ifPresent(
                                                slots -> unloadAnswered(slots, evicted, outcome)));
    }

    private static void unloadAnswered(
            EngineSlots slots, AdapterKey evicted, OrderOutcome outcome) {
        switch (outcome) {
            case HOLDS -> slots.unloaded(evicted);
            case UNKNOWN -> slots.find(evicted).ifPresent(EngineSlots.Slot::markOutcomeUnknown);
            case CONFLICT, REFUSED -> {
                slots.find(evicted).ifPresent(EngineSlots.Slot::cancelUnloading);
                slots.markUnverified();
            }
            default -> slots.markUnverified();
        }
    }

    private void loadAnswered(AdapterPlacement chosen, OrderOutcome outcome, long orderedNanos) {
        final long nowNanos = clock.nanoTime();
        planner.slotsOf(chosen.backend())
                .ifPresent(slots -> loadAnswered(slots, chosen, outcome, nowNanos));
        if (outcome == OrderOutcome.ACCEPTED) {
            EventLine.of("adapter-loading")
                    .with("backend", chosen.backend())
                    .with("adapter", chosen.key().adapter())
                    .with("version", chosen.version())
                    .with("victim", chosen.evicted().map(AdapterKey::adapter).orElse("-"))
                    .with("turn_ms", chosen.queueDelayMillis())
                    .with("load_ms", chosen.loadMillis())
                    .with("order_ms", TimeUnit.NANOSECONDS.toMillis(nowNanos - orderedNanos))
                    .info();
        }
    }

    private static void loadAnswered(
            EngineSlots slots, AdapterPlacement chosen, OrderOutcome outcome, long nowNanos) {
        final Optional<EngineSlots.Slot> slot = slots.find(chosen.key());
        switch (outcome) {
            case ACCEPTED -> slot.ifPresent(reserved -> loadAccepted(reserved, chosen, nowNanos));
            case HOLDS -> slot.ifPresent(reserved -> reserved.expectReadyAt(nowNanos));
            case UNKNOWN -> slot.ifPresent(EngineSlots.Slot::markOutcomeUnknown);
            case CONFLICT -> {
                slots.release(chosen.key());
                slots.markUnverified();
            }
            default -> slots.release(chosen.key());
        }
    }

    private static void loadAccepted(
            EngineSlots.Slot slot, AdapterPlacement chosen, long nowNanos) {
        slot.accepted();
        slot.expectReadyAt(nowNanos + TimeUnit.MILLISECONDS.toNanos(chosen.loadMillis()));
    }

    private void loadModel(String backend, String model, long nowNanos) {
        final EngineOrders queue = orderQueueOf(backend);
        final EngineProfile profile = profiles.get(backend);
        final double rate = profile == null ? 0 : profile.loadsPerSecond();
        if (queue.isBusy() || !modelLoadLimiter.tryLoad(backend, rate, nowNanos)) {
            return;
        }
        EventLine.of("model-loading").with("backend", backend).with("model", model).info();
        queue.submit(EngineOrder.load(model, "", OptionalLong.empty()));
    }

    private EngineOrders orderQueueOf(String backend) {
        final BackendAnnouncement announcement = registry.find(backend).orElseThrow();
        final EngineOrders known = orderQueues.get(backend);
        if (known != null && known.isFor(announcement)) {
            return known;
        }
        if (known != null) {
            known.close();
        }
        final EngineOrders opened = orders.apply(announcement);
        orderQueues.put(backend, opened);
        return opened;
    }
}
