package org.crocushaven.fleet;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.admission.ShareAllocator;
import org.crocushaven.admission.ShareAllocatorSettings;
import org.crocushaven.admission.ShareGrant;
import org.crocushaven.configuration.Organisation;
import org.crocushaven.ingress.EngineProfile;
import org.crocushaven.ingress.IngressConfiguration;
import org.crocushaven.ingress.IngressService;
import org.crocushaven.ingress.KeyedOrganisation;
import org.crocushaven.observability.EventLine;
import org.crocushaven.outbound.BackendPool;

/**
 * What one leader does in its term: tells gateways of the fleet, lends shares, places adapters and
 * gives orders to engines. Used on one event loop only, while the leader's lease is held.
 */
final class FleetLeader {
    /** Time after which a gateway that does not report is forgotten. */
    private static final long GATEWAY_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** Time after which a registration that did not succeed is tried again. */
    private static final long REGISTRATION_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Time after which a gateway that never reported to this leader holds nothing. */
    private static final long FORGOTTEN_GATEWAY_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final long epoch;
    private final String instance;
    private final BackendRegistry registry;
    private final FleetState state;
    private final ControlDialect dialect;
    private final BackendPool pool;
    private final EventLoop loop;
    private final NanoClock clock;
    private final BooleanSupplier mayOrder;
    private final Consumer<FleetCommand> registration;
    private final long sinceNanos;
    private final Map<String, Long> registering = new HashMap<>();
    private final Set<String> declared = new HashSet<>();
    private boolean allDeclared;
    private final long ordersFromNanos;
    private final ShareAllocator shares;
    private final AdapterPlanner planner = new AdapterPlanner();
    private final Map<String, EngineOrders> orders = new HashMap<>();
    private final Map<String, Reporter> gateways = new HashMap<>();
    private final Map<String, Told> told = new HashMap<>();
    private final ModelLoadPace modelPace = new ModelLoadPace();
    private long revision = 1;
    private long configuredRevision = -1;
    private Optional<IngressConfiguration> configuration = Optional.empty();

    /**
     * Creates the leader of a term.
     *
     * @param orderPauseMillis time since the election in which an earlier leader's orders may still
     *     arrive, so that none are given
     * @param mayOrder whether the leader's lease is held
     * @param registration proposes changes of the gateways that may hold shares
     */
    FleetLeader(
            long epoch,
            String instance,
            BackendRegistry registry,
            FleetState state,
            ControlDialect dialect,
            BackendPool pool,
            EventLoop loop,
            NanoClock clock,
            long orderPauseMillis,
            BooleanSupplier mayOrder,
            Consumer<FleetCommand> registration) {
        this.epoch = epoch;
        this.instance = instance;
        this.registry = registry;
        this.state = state;
        this.dialect = dialect;
        this.pool = pool;
        this.loop = loop;
        this.clock = clock;
        this.mayOrder = mayOrder;
        this.registration = registration;
        final long nowNanos = clock.nanoTime();
        this.sinceNanos = nowNanos;
        this.ordersFromNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(orderPauseMillis);
        this.shares =
                ShareAllocator.create(
                        epoch, ShareAllocatorSettings.selfReliant(), List.of(), nowNanos);
        refresh();
    }

    long epoch() {
        return epoch;
    }

    /** Takes in what has changed in registry and replicated state. */
    void refresh() {
        final long nowNanos = clock.nanoTime();
        configure(nowNanos);
        for (final String expired : registry.expire(nowNanos)) {
            EventLine.of("backend-forgotten").with("backend", expired).info();
        }
        final Collection<BackendAnnouncement> present = registry.present();
        for (final BackendAnnouncement announcement : present) {
            tell(announcement, nowNanos);
        }
        final List<String> ended = new ArrayList<>();
        told.forEach(
                (backend, entry) -> {
                    final boolean isPresent =
                            registry.find(backend)
                                    .filter(known -> known.state() != BackendState.GONE)
                                    .isPresent();
                    if (entry.record != null && !isPresent) {
                        ended.add(backend);
                    }
                });
        ended.forEach(this::end);
    }

    /** Takes in an announcement that was news to the registry. */
    void announced(BackendAnnouncement announcement) {
        final long nowNanos = clock.nanoTime();
        profileOf(announcement.service())
                .ifPresent(
                        profile -> {
                            registry.find(announcement.backend())
                                    .ifPresent(
                                            known -> planner.announced(known, profile, nowNanos));
                        });
    }

    /** Answers a gateway's report. */
    GatewayUpdate report(GatewayReport report, List<String> controls) {
        final long nowNanos = clock.nanoTime();
        refresh();
        gateways.put(report.gateway(), new Reporter(report, nowNanos));
        gateways.values().removeIf(reporter -> nowNanos - reporter.heardNanos > GATEWAY_NANOS);
        countLoads();
        planner.used(allUses(), report.uses(), nowNanos);
        final FleetState.View view = state.view();
        final boolean known = report.epoch() == epoch;
        final boolean stateKnown = report.stateRevision() == view.revision();
        return new GatewayUpdate(
                epoch,
                revision,
                !known,
                view.revision(),
                view.configurationVersion(),
                report.configurationVersion() == view.configurationVersion()
                        ? new byte[0]
                        : view.document(),
                stateKnown ? List.of() : view.adapterVersions(),
                !stateKnown,
                changedSince(known ? report.revision() : 0),
                goneSince(known ? report.revision() : 0),
                otherLoads(report.gateway()),
                gateways.size(),
                controls,
                lend(report, nowNanos));
    }

    /** Lends shares to a gateway once it is known to every later leader that it may hold some. */
    private Optional<ShareGrant> lend(GatewayReport report, long nowNanos) {
        final Set<String> registered = state.gateways();
        if (!registered.contains(report.gateway())) {
            final Long asked = registering.get(report.gateway());
            if (asked == null || nowNanos - asked >= REGISTRATION_NANOS) {
                registering.put(report.gateway(), nowNanos);
                registration.accept(FleetCommand.gateways(List.of(report.gateway()), List.of()));
            }
            return Optional.empty();
        }
        declared.add(report.gateway());
        final ShareGrant grant = shares.handle(report.gateway(), report.shares(), nowNanos);
        if (!allDeclared && declared.containsAll(registered)) {
            allDeclared = true;
            shares.allHoldersKnown(nowNanos);
        }
        return Optional.of(grant);
    }

    /** Forgets gateways that have not reported for long; what they held has expired long ago. */
    private void forgetGateways(long nowNanos) {
        if (nowNanos - sinceNanos < FORGOTTEN_GATEWAY_NANOS || allDeclared) {
            return;
        }
        allDeclared = true;
        final List<String> absent =
                state.gateways().stream().filter(name -> !declared.contains(name)).toList();
        if (!absent.isEmpty()) {
            registration.accept(FleetCommand.gateways(List.of(), absent));
        }
    }

    /** Returns the gateways that report here. */
    List<String> gateways() {
        return List.copyOf(gateways.keySet());
    }

    /** Finds or makes a place for an adapter. */
    CompletableFuture<AdapterGrant> place(AdapterAsk ask) {
        final long nowNanos = clock.nanoTime();
        doubtDisproved(ask);
        final Optional<AdapterPlacement> placement = planner.place(ask, nowNanos);
        if (placement.isEmpty()) {
            return none();
        }
        final AdapterPlacement chosen = placement.get();
        if (!chosen.needsLoad()) {
            return CompletableFuture.completedFuture(
                    new AdapterGrant(chosen.backend(), chosen.readyInMillis(), chosen.version()));
        }
        if (nowNanos - ordersFromNanos < 0) {
            return none();
        }
        planner.commit(chosen, nowNanos);
        return load(chosen);
    }

    /** Orders base models to engines that hold none, and asks engines for reports. */
    void tick() {
        final long nowNanos = clock.nanoTime();
        refresh();
        shares.tick(nowNanos);
        forgetGateways(nowNanos);
        if (nowNanos - ordersFromNanos < 0) {
            return;
        }
        planner.wantingReport(nowNanos).forEach(this::verify);
        for (final String backend : planner.engines()) {
            planner.missingModel(backend).ifPresent(model -> loadModel(backend, model, nowNanos));
        }
    }

    /** Gives no more orders. */
    void close() {
        orders.values().forEach(EngineOrders::close);
    }

    private void configure(long nowNanos) {
        final FleetState.View view = state.view();
        if (view.revision() == configuredRevision) {
            return;
        }
        configuredRevision = view.revision();
        planner.versionsNamed(view.adapterVersions());
        final boolean isNew =
                view.configurationVersion()
                        != configuration.map(IngressConfiguration::version).orElse(0L);
        if (isNew) {
            configuration =
                    Optional.of(dialect.decodeConfiguration(Documents.expand(view.document())));
            shares.organisationsChanged(organisations(configuration.get()), nowNanos);
            registry.present().forEach(this::announced);
        }
    }

    private static List<Organisation> organisations(IngressConfiguration configuration) {
        return configuration.organisations().stream()
                .filter(KeyedOrganisation::isBounded)
                .map(
                        organisation ->
                                new Organisation(
                                        organisation.name(),
                                        organisation.allowedPerSecond(),
                                        organisation.burst(),
                                        1))
                .toList();
    }

    private Optional<EngineProfile> profileOf(String service) {
        return configuration
                .flatMap(known -> known.service(service))
                .flatMap(IngressService::engine);
    }

    private void tell(BackendAnnouncement announcement, long nowNanos) {
        final String backend = announcement.backend();
        final List<HeldAdapter> held =
                profileOf(announcement.service()).isPresent()
                        ? planner.usable(backend, nowNanos)
                        : List.of();
        final BackendRecord record =
                new BackendRecord(
                        backend,
                        announcement.service(),
                        announcement.host(),
                        announcement.port(),
                        announcement.failureDomain(),
                        announcement.state(),
                        registry.isSilent(backend, nowNanos),
                        announcement.slots(),
                        held);
        final Told known = told.get(backend);
        if (known == null || !record.equals(known.record)) {
            revision++;
            told.put(backend, new Told(record, revision));
        }
    }

    private void end(String backend) {
        revision++;
        told.put(backend, new Told(null, revision));
        planner.remove(backend);
        final EngineOrders ended = orders.remove(backend);
        if (ended != null) {
            ended.close();
        }
    }

    private List<BackendRecord> changedSince(long since) {
        final List<BackendRecord> changed = new ArrayList<>();
        told.values().stream()
                .filter(entry -> entry.record != null && entry.revision > since)
                .forEach(entry -> changed.add(entry.record));
        return changed;
    }

    private List<String> goneSince(long since) {
        final List<String> gone = new ArrayList<>();
        told.forEach(
                (backend, entry) -> {
                    if (entry.record == null && entry.revision > since) {
                        gone.add(backend);
                    }
                });
        return gone;
    }

    private void countLoads() {
        final Map<String, Integer> loads = loadsExcept("");
        planner.engines()
                .forEach(backend -> planner.loaded(backend, loads.getOrDefault(backend, 0)));
    }

    private List<BackendLoad> otherLoads(String gateway) {
        final List<BackendLoad> loads = new ArrayList<>();
        loadsExcept(gateway)
                .forEach((backend, requests) -> loads.add(new BackendLoad(backend, requests)));
        return loads;
    }

    private Map<String, Integer> loadsExcept(String gateway) {
        final Map<String, Integer> loads = new HashMap<>();
        gateways.forEach(
                (name, reporter) -> {
                    if (!name.equals(gateway)) {
                        reporter.report
                                .loads()
                                .forEach(
                                        load ->
                                                loads.merge(
                                                        load.backend(),
                                                        load.requests(),
                                                        Integer::sum));
                    }
                });
        return loads;
    }

    private List<AdapterUse> allUses() {
        final List<AdapterUse> uses = new ArrayList<>();
        gateways.values().forEach(reporter -> uses.addAll(reporter.report.uses()));
        return uses;
    }

    private CompletableFuture<AdapterGrant> none() {
        return CompletableFuture.completedFuture(AdapterGrant.none(planner.retryMillis()));
    }

    private CompletableFuture<AdapterGrant> load(AdapterPlacement chosen) {
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
                        return none();
                    }
                    return engine.give(
                                    EngineOrder.load(
                                            chosen.key().model(),
                                            chosen.key().adapter(),
                                            chosen.version() > 0
                                                    ? OptionalLong.of(chosen.version())
                                                    : OptionalLong.empty()))
                            .thenApply(loaded -> loadOrdered(chosen, loaded, orderedNanos));
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
            AdapterPlacement chosen, OrderOutcome outcome, long orderedNanos) {
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
                return AdapterGrant.none(planner.retryMillis());
            }
            default -> {
                slots.ifPresent(known -> known.release(chosen.key()));
                return AdapterGrant.none(planner.retryMillis());
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
        final double rate =
                registry.find(backend)
                        .flatMap(known -> profileOf(known.service()))
                        .map(EngineProfile::loadsPerSecond)
                        .orElse(0.0);
        if (engine.isBusy() || !modelPace.tryLoad(backend, rate, nowNanos)) {
            return;
        }
        EventLine.of("model-loading").with("backend", backend).with("model", model).info();
        engine.give(EngineOrder.load(model, "", OptionalLong.empty()));
    }

    private EngineOrders ordersOf(String backend) {
        final BackendAnnouncement announcement = registry.find(backend).orElseThrow();
        final EngineOrders known = orders.get(backend);
        if (known != null && !known.isFor(announcement)) {
            known.close();
            orders.remove(backend);
        }
        return orders.computeIfAbsent(
                backend,
                id ->
                        new EngineOrders(
                                announcement, dialect, pool, loop, instance, epoch, mayOrder));
    }

    private static final class Reporter {
        private final GatewayReport report;
        private final long heardNanos;

        private Reporter(GatewayReport report, long heardNanos) {
            this.report = report;
            this.heardNanos = heardNanos;
        }
    }

    private record Told(BackendRecord record, long revision) {}
}
