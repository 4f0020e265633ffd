package org.crocushaven.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.ingress.EngineProfile;
import org.crocushaven.observability.EventLine;

/**
 * Carries out where adapters and base models go: asks the planner, gives the orders, and keeps what
 * is believed of engines in step with their answers. Used on one event loop only.
 */
final class EnginePlacement {
    private final EngineOrderContext context;
    private final BackendRegistry registry;
    private final NanoClock clock;
    private final long ordersFromNanos;
    private final AdapterPlanner planner = new AdapterPlanner();
    private final Map<String, EngineOrders> orders = new HashMap<>();
    private final Map<String, EngineProfile> profiles = new HashMap<>();
    private final ModelLoadPace modelPace = new ModelLoadPace();

    /**
     * Creates the placement of a leader that has given no order yet.
     *
     * @param ordersFromNanos time before which no orders are given
     */
    EnginePlacement(
            EngineOrderContext context,
            BackendRegistry registry,
            NanoClock clock,
            long ordersFromNanos) {
        this.context = context;
        this.registry = registry;
        this.clock = clock;
        this.ordersFromNanos = ordersFromNanos;
    }

    /** Takes in an engine's announcement. */
    void announced(BackendAnnouncement announcement, EngineProfile profile) {
        profiles.put(announcement.backend(), profile);
        planner.announced(announcement, profile, clock.nanoTime());
    }

    /** Forgets an engine that has ended. */
    void ended(String backend) {
        planner.remove(backend);
        profiles.remove(backend);
        final EngineOrders ended = orders.remove(backend);
        if (ended != null) {
            ended.close();
        }
    }

    /** Takes in the versions that the operator named. */
    void versionsNamed(Collection<AdapterVersion> versions) {
        planner.versionsNamed(versions);
    }

    /** Takes in the requests under way at engines, and the use of adapters. */
    void used(
            Map<String, Integer> loads,
            Collection<AdapterUse> running,
            Collection<AdapterUse> started) {
        planner.engines()
                .forEach(backend -> planner.loaded(backend, loads.getOrDefault(backend, 0)));
        planner.used(running, started, clock.nanoTime());
    }

    /** Returns what can be used on an engine now. */
    List<HeldAdapter> usable(String backend) {
        return planner.usable(backend, clock.nanoTime());
    }

    /** Finds or makes a place for an adapter. */
    CompletableFuture<AdapterGrant> place(AdapterAsk ask) {
        final long nowNanos = clock.nanoTime();
        doubtDisproved(ask);
        final Optional<AdapterPlacement> placement = planner.place(ask, nowNanos);
        if (placement.isEmpty()) {
            return none(ask, "no-place");
        }
        final AdapterPlacement chosen = placement.get();
        if (!chosen.needsLoad()) {
            return CompletableFuture.completedFuture(
                    new AdapterGrant(chosen.backend(), chosen.readyInMillis(), chosen.version()));
        }
        if (nowNanos - ordersFromNanos < 0) {
            return none(ask, "no-orders-yet");
        }
        planner.commit(chosen, nowNanos);
        return load(chosen, ask);
    }

    /** Orders base models to engines that hold none, and asks engines for reports. */
    void tick() {
        final long nowNanos = clock.nanoTime();
        if (nowNanos - ordersFromNanos < 0) {
            return;
        }
        planner.wantingReport(nowNanos).forEach(this::verify);
        for (final String backend : planner.engines()) {
            planner.missingModel(backend).ifPresent(model -> loadModel(backend, model, nowNanos));
        }
        planner.services()
                .forEach(
                        service ->
                                planner.relief(service, nowNanos)
                                        .ifPresent(chosen -> relieve(service, chosen)));
    }

    /** Gives no more orders. */
    void close() {
        orders.values().forEach(EngineOrders::close);
    }

    /** Loads an adapter on a second engine, for which no request waits. */
    private void relieve(String service, AdapterPlacement chosen) {
        EventLine.of("adapter-spread")
                .with("backend", chosen.backend())
                .with("adapter", chosen.key().adapter())
                .info();
        planner.commit(chosen, clock.nanoTime());
        load(
                chosen,
                new AdapterAsk(service, chosen.key().model(), chosen.key().adapter(), List.of()));
    }

    private CompletableFuture<AdapterGrant> none(AdapterAsk ask, String reason) {
        return CompletableFuture.completedFuture(refused(ask, reason));
    }

    private AdapterGrant refused(AdapterAsk ask, String reason) {
        final AdapterRefusal refusal = planner.refusal(ask, clock.nanoTime());
        EventLine.of("adapter-refused")
                .with("service", ask.service())
                .with("adapter", ask.adapter())
                .with("reason", reason)
                .with("avoided", ask.avoided().size())
                .with("candidates", refusal.candidates())
                .with("unverified", refusal.unverified())
                .with("crowded", refusal.crowded())
                .with("full", refusal.full())
                .with("retry_ms", refusal.retryMillis())
                .info();
        return AdapterGrant.none(refusal.retryMillis());
    }

    private CompletableFuture<AdapterGrant> load(AdapterPlacement chosen, AdapterAsk ask) {
        final EngineOrders engine = ordersOf(chosen.backend());
        final long orderedNanos = clock.nanoTime();
        final CompletableFuture<OrderOutcome> room =
                chosen.victim()
                        .map(victim -> unload(engine, chosen, victim))
                        .orElse(CompletableFuture.completedFuture(OrderOutcome.HOLDS));
        return room.thenCompose(
                outcome -> {
                    if (outcome != OrderOutcome.HOLDS) {
                        planner.slotsOf(chosen.backend())
                                .ifPresent(slots -> slots.release(chosen.key()));
                        return none(ask, "no-room-made");
                    }
                    return engine.give(
                                    EngineOrder.load(
                                            chosen.key().model(),
                                            chosen.key().adapter(),
                                            chosen.version() > 0
                                                    ? OptionalLong.of(chosen.version())
                                                    : OptionalLong.empty()))
                            .thenApply(loaded -> loadOrdered(chosen, ask, loaded, orderedNanos));
                });
    }

    /** Asks an engine what it holds; the answer counts if no order was given meanwhile. */
    private void verify(String backend) {
        if (registry.isSilent(backend, clock.nanoTime())) {
            return;
        }
        ordersOf(backend)
                .verify()
                .thenAccept(
                        report ->
                                report.ifPresent(
                                        found ->
                                                planner.reported(
                                                        backend, found, clock.nanoTime())));
    }

    /** An engine that was tried and did not serve may not hold what is believed. */
    private void doubtDisproved(AdapterAsk ask) {
        final AdapterKey key = new AdapterKey(ask.model(), ask.adapter());
        for (final String backend : ask.avoided()) {
            planner.slotsOf(backend)
                    .filter(slots -> slots.find(key).isPresent())
                    .ifPresent(EngineSlots::doubt);
        }
    }

    private void doubt(String backend) {
        planner.slotsOf(backend).ifPresent(EngineSlots::doubt);
    }

    private CompletableFuture<OrderOutcome> unload(
            EngineOrders engine, AdapterPlacement chosen, AdapterKey victim) {
        return engine.give(EngineOrder.unload(victim.model(), victim.adapter()))
                .thenApply(
                        outcome -> {
                            planner.slotsOf(chosen.backend())
                                    .ifPresent(slots -> unloaded(slots, victim, outcome));
                            if (outcome != OrderOutcome.HOLDS) {
                                doubt(chosen.backend());
                            }
                            return outcome;
                        });
    }

    private void unloaded(EngineSlots slots, AdapterKey victim, OrderOutcome outcome) {
        if (outcome == OrderOutcome.HOLDS) {
            slots.left(victim);
        } else if (outcome == OrderOutcome.CONFLICT || outcome == OrderOutcome.REFUSED) {
            slots.find(victim).ifPresent(slot -> slot.stay());
        }
    }

    private AdapterGrant loadOrdered(
            AdapterPlacement chosen, AdapterAsk ask, OrderOutcome outcome, long orderedNanos) {
        final long nowNanos = clock.nanoTime();
        final Optional<EngineSlots> slots = planner.slotsOf(chosen.backend());
        final long passed = TimeUnit.NANOSECONDS.toMillis(nowNanos - orderedNanos);
        switch (outcome) {
            case ACCEPTED -> {
                slots.flatMap(known -> known.find(chosen.key()))
                        .ifPresent(slot -> loadAccepted(slot, chosen, nowNanos));
                EventLine.of("adapter-loading")
                        .with("backend", chosen.backend())
                        .with("adapter", chosen.key().adapter())
                        .with("version", chosen.version())
                        .with("victim", chosen.victim().map(AdapterKey::adapter).orElse("-"))
                        .with("ready_in_ms", chosen.readyInMillis())
                        .with("order_ms", passed)
                        .info();
                return new AdapterGrant(chosen.backend(), chosen.readyInMillis(), chosen.version());
            }
            case HOLDS -> {
                slots.flatMap(known -> known.find(chosen.key()))
                        .ifPresent(slot -> slot.ready(nowNanos));
                return new AdapterGrant(chosen.backend(), 0, chosen.version());
            }
            case UNKNOWN, CONFLICT -> {
                doubt(chosen.backend());
                return refused(ask, "order-" + outcome);
            }
            default -> {
                slots.ifPresent(known -> known.release(chosen.key()));
                return refused(ask, "order-" + outcome);
            }
        }
    }

    private static void loadAccepted(
            EngineSlots.Slot slot, AdapterPlacement chosen, long nowNanos) {
        slot.accepted();
        slot.ready(nowNanos + TimeUnit.MILLISECONDS.toNanos(chosen.readyInMillis()));
    }

    private void loadModel(String backend, String model, long nowNanos) {
        final EngineOrders engine = ordersOf(backend);
        final EngineProfile profile = profiles.get(backend);
        final double rate = profile == null ? 0 : profile.loadsPerSecond();
        if (engine.isBusy() || !modelPace.tryLoad(backend, rate, nowNanos)) {
            return;
        }
        EventLine.of("model-loading").with("backend", backend).with("model", model).info();
        engine.give(EngineOrder.load(model, "", OptionalLong.empty()));
    }

    private EngineOrders ordersOf(String backend) {
        final BackendAnnouncement announcement = registry.find(backend).orElseThrow();
        final EngineOrders known = orders.get(backend);
        if (known != null && known.isFor(announcement)) {
            return known;
        }
        if (known != null) {
            known.close();
        }
        final EngineOrders opened = new EngineOrders(announcement, context);
        orders.put(backend, opened);
        return opened;
    }
}
