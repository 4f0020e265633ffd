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
    /** Engines that are tried besides the first for one request. */
    private static final int OTHER_ENGINES = 2;

    /** Time until a turn is tried again while the engine's report is awaited. */
    private static final long REPORT_MILLIS = 100;

    /** How often it is tried again; engines are asked for reports every 200 ms. */
    private static final int LOOKS = 3;

    private final EngineOrderContext context;
    private final BackendRegistry registry;
    private final NanoClock clock;
    private final long ordersFromNanos;
    private final AdapterPlanner planner = new AdapterPlanner();
    private final Map<String, EngineOrders> orders = new HashMap<>();
    private final Map<String, EngineProfile> profiles = new HashMap<>();
    private final ModelLoadPace modelPace = new ModelLoadPace();
    private boolean closed;

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
        doubtDisproved(ask);
        return place(ask, OTHER_ENGINES);
    }

    /** Places an adapter; where an engine does not take the order, another one is tried. */
    private CompletableFuture<AdapterGrant> place(AdapterAsk ask, int othersLeft) {
        final long nowNanos = clock.nanoTime();
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
        return chosen.turnInMillis() > 0 ? loadLater(chosen) : loadNow(chosen, ask, othersLeft);
    }

    private CompletableFuture<AdapterGrant> loadNow(
            AdapterPlacement chosen, AdapterAsk ask, int othersLeft) {
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
                            return othersLeft > 0
                                    ? place(ask.without(chosen.backend()), othersLeft - 1)
                                    : none(ask, "order-" + outcome);
                        });
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
                .forEach(service -> planner.relief(service, nowNanos).ifPresent(this::relieve));
    }

    /** Gives no more orders. */
    void close() {
        closed = true;
        orders.values().forEach(EngineOrders::close);
    }

    /** Loads an adapter on a second engine, for which no request waits. */
    private void relieve(AdapterPlacement chosen) {
        EventLine.of("adapter-spread")
                .with("backend", chosen.backend())
                .with("adapter", chosen.key().adapter())
                .info();
        planner.commit(chosen, clock.nanoTime());
        load(chosen);
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

    /** Promises an adapter that is ordered when its turn at the weight store has come. */
    private CompletableFuture<AdapterGrant> loadLater(AdapterPlacement chosen) {
        scheduleTurn(chosen, chosen.turnInMillis(), LOOKS);
        return CompletableFuture.completedFuture(
                new AdapterGrant(chosen.backend(), chosen.readyInMillis(), chosen.version()));
    }

    private void scheduleTurn(AdapterPlacement chosen, long delayMillis, int looksLeft) {
        context.loop()
                .schedule(() -> takeTurn(chosen, looksLeft), delayMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * Orders an adapter whose turn has come, if what the engine holds is known and leaves room.
     *
     * @param looksLeft how often a report is awaited before the place is given up
     */
    private void takeTurn(AdapterPlacement chosen, int looksLeft) {
        if (!isQueued(chosen)) {
            return;
        }
        final EngineSlots slots = planner.slotsOf(chosen.backend()).orElseThrow();
        chosen.victim().flatMap(slots::find).ifPresent(EngineSlots.Slot::startLeaving);
        if (slots.isVerified() && planner.fits(chosen.backend())) {
            load(chosen);
        } else if (looksLeft > 0) {
            slots.doubt();
            scheduleTurn(chosen, REPORT_MILLIS, looksLeft - 1);
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

    /** Makes room for an adapter and orders it. */
    private CompletableFuture<OrderOutcome> load(AdapterPlacement chosen) {
        planner.slotsOf(chosen.backend())
                .flatMap(slots -> slots.find(chosen.key()))
                .ifPresent(EngineSlots.Slot::ordered);
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
                        return CompletableFuture.completedFuture(OrderOutcome.REFUSED);
                    }
                    return engine.give(
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

    private CompletableFuture<OrderOutcome> unload(
            EngineOrders engine, AdapterPlacement chosen, AdapterKey victim) {
        return engine.give(EngineOrder.unload(victim.model(), victim.adapter()))
                .whenComplete(
                        (outcome, failure) ->
                                planner.slotsOf(chosen.backend())
                                        .ifPresent(
                                                slots -> unloadAnswered(slots, victim, outcome)));
    }

    private static void unloadAnswered(EngineSlots slots, AdapterKey victim, OrderOutcome outcome) {
        switch (outcome) {
            case HOLDS -> slots.left(victim);
            case UNKNOWN -> slots.find(victim).ifPresent(EngineSlots.Slot::doubt);
            case CONFLICT, REFUSED -> {
                slots.find(victim).ifPresent(EngineSlots.Slot::stay);
                slots.doubt();
            }
            default -> slots.doubt();
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
                    .with("victim", chosen.victim().map(AdapterKey::adapter).orElse("-"))
                    .with("turn_ms", chosen.turnInMillis())
                    .with("load_ms", chosen.loadMillis())
                    .with("order_ms", TimeUnit.NANOSECONDS.toMillis(nowNanos - orderedNanos))
                    .info();
        }
    }

    private static void loadAnswered(
            EngineSlots slots, AdapterPlacement chosen, OrderOutcome outcome, long nowNanos) {
        final Optional<EngineSlots.Slot> slot = slots.find(chosen.key());
        switch (outcome) {
            case ACCEPTED -> slot.ifPresent(taken -> loadAccepted(taken, chosen, nowNanos));
            case HOLDS -> slot.ifPresent(taken -> taken.ready(nowNanos));
            case UNKNOWN -> slot.ifPresent(EngineSlots.Slot::doubt);
            case CONFLICT -> {
                slots.release(chosen.key());
                slots.doubt();
            }
            default -> slots.release(chosen.key());
        }
    }

    private static void loadAccepted(
            EngineSlots.Slot slot, AdapterPlacement chosen, long nowNanos) {
        slot.accepted();
        slot.ready(nowNanos + TimeUnit.MILLISECONDS.toNanos(chosen.loadMillis()));
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
