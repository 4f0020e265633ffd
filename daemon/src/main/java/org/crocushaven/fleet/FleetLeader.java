package org.crocushaven.fleet;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.coldstart.ColdStartBound;
import org.crocushaven.ingress.EngineProfile;
import org.crocushaven.ingress.IngressConfiguration;
import org.crocushaven.ingress.IngressService;
import org.crocushaven.observability.EventLine;

/**
 * Performs the leader's tasks during one term: sends gateways the state of the fleet, lends shares,
 * places adapters and sends orders to engines. Used on one event loop only, while the leader's
 * lease is held.
 */
final class FleetLeader {
    private static final byte[] NO_DOCUMENT = new byte[0];

    /**
     * Interval between two passes over all backend servers while gateways report; states that
     * change are passed on at once.
     */
    private static final long PASS_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private final long epoch;
    private final BackendRegistry registry;
    private final FleetState state;
    private final ControlDialect dialect;
    private final NanoClock clock;
    private final ShareLending lending;
    private final EnginePlacement placement;
    private final GatewayReports reports = new GatewayReports();
    private final LimitLedger limits = new LimitLedger();
    private final ColdStarts coldStarts;
    private final EvacuationProgress evacuations;
    private final BackendChanges changes;
    private final LeaderLoad load;
    private final StreamDirectory streams;
    private final TraitVerdicts verdicts;
    private final TakeUpTime takeUpTime = new TakeUpTime();
    private long configuredRevision = -1;
    private Optional<IngressConfiguration> configuration = Optional.empty();
    private long passedNanos;

    /**
     * Creates the leader of a term.
     *
     * @param orders context for sending orders; its token is the term
     * @param orderPauseMillis time after the election in which no orders are sent, because orders
     *     of an earlier leader may still arrive
     * @param registration proposes changes of the gateways that may hold shares
     * @param streams where the streams began that gateways reported in this term
     * @param verdicts decides on traits of requests in this term
     */
    FleetLeader(
            EngineOrderContext orders,
            BackendRegistry registry,
            FleetState state,
            NanoClock clock,
            long orderPauseMillis,
            double rateSlack,
            Consumer<FleetCommand> registration,
            StreamDirectory streams,
            TraitVerdicts verdicts) {
        this.epoch = orders.token();
        this.registry = registry;
        this.state = state;
        this.dialect = orders.dialect();
        this.clock = clock;
        final long nowNanos = clock.nanoTime();
        this.changes = new BackendChanges(TimeUnit.NANOSECONDS.toMicros(nowNanos));
        this.load = new LeaderLoad(nowNanos);
        this.streams = streams;
        this.verdicts = verdicts;
        this.lending = new ShareLending(epoch, state, registration, rateSlack, nowNanos);
        this.placement =
                new EnginePlacement(
                        announcement -> new EngineOrderQueue(announcement, orders),
                        (delayMillis, task) ->
                                orders.loop().schedule(task, delayMillis, TimeUnit.MILLISECONDS),
                        registry,
                        clock,
                        nowNanos + TimeUnit.MILLISECONDS.toNanos(orderPauseMillis));
        this.coldStarts = new ColdStarts(registry, this::coldStartOf);
        this.evacuations = new EvacuationProgress(registry, placement, coldStarts);
        refresh();
    }

    /** Returns the leader's term, which gateways receive as the epoch. */
    long epoch() {
        return epoch;
    }

    /** Applies changes of the registry and of the replicated state. */
    void refresh() {
        final long nowNanos = clock.nanoTime();
        passedNanos = nowNanos;
        configure(nowNanos);
        for (final String expired : registry.expire(nowNanos)) {
            EventLine.of("backend-forgotten").with("backend", expired).info();
        }
        registry.present().forEach(announcement -> updateRecord(announcement, nowNanos));
        for (final String backend : changes.present()) {
            if (!isPresent(backend)) {
                changes.putGone(backend);
                placement.remove(backend);
            }
        }
    }

    /** Applies an announcement that the registry accepted. */
    void announced(BackendAnnouncement announcement) {
        streams.observe(announcement, clock.nanoTime());
        verdicts.announced(announcement);
        coldStarts.announced(announcement, clock.nanoTime());
        final Optional<EngineProfile> profile = profileOf(announcement.service());
        final Optional<BackendAnnouncement> known = registry.find(announcement.backend());
        if (profile.isPresent() && known.isPresent()) {
            placement.announced(known.get(), profile.get());
        }
    }

    /** Answers a gateway's report. */
    GatewayUpdate report(GatewayReport report, List<String> controls) {
        final long nowNanos = clock.nanoTime();
        configure(nowNanos);
        reports.put(report, nowNanos);
        placement.addStarted(report.uses());
        streams.add(report.streams(), nowNanos);
        verdicts.report(report, reports.gateways());
        if (nowNanos - passedNanos >= PASS_INTERVAL_NANOS) {
            placement.updateUse(reports.loads(), reports.uses());
            refresh();
        }
        final FleetState.View view = state.view();
        final boolean isKnown = report.epoch() == epoch && changes.covers(report.revision());
        final long since = isKnown ? report.revision() : 0;
        final boolean gatewayHasState = report.stateRevision() == view.revision();
        final boolean gatewayHasDocument =
                report.configurationVersion() == view.configurationVersion();
        final GatewayUpdate update =
                new GatewayUpdate(
                        epoch,
                        changes.revision(),
                        !isKnown,
                        view.revision(),
                        view.configurationVersion(),
                        gatewayHasDocument ? NO_DOCUMENT : view.document(),
                        gatewayHasState ? List.of() : view.adapterVersions(),
                        !gatewayHasState,
                        changes.changedSince(since),
                        changes.goneSince(since),
                        reports.otherLoads(report.gateway(), nowNanos),
                        reports.gatewayCount(),
                        controls,
                        lending.lend(report, nowNanos),
                        verdicts.update(report, !gatewayHasState),
                        limits.exchange(report.limits(), nowNanos),
                        RelayDirectory.relaysFor(report, reports.latest()),
                        coldStarts.exchange(report.coldStarts(), nowNanos),
                        view.evacuatedDomains());
        load.recordReport(nowNanos, clock.nanoTime(), update.changed().size());
        return update;
    }

    /** Returns the gateways that report to this leader. */
    List<String> gateways() {
        return reports.gateways();
    }

    /** Finds an engine that holds an adapter, or loads the adapter on one. */
    CompletableFuture<AdapterGrant> place(AdapterRequest request) {
        return placement.place(request);
    }

    /** Answers where a stream began. */
    StreamOriginAnswer findStreamOrigin(StreamOriginQuery query) {
        return new StreamOriginAnswer(streams.find(query));
    }

    /** Runs the periodic tasks. */
    void tick() {
        reports.removeExpired(clock.nanoTime());
        refresh();
        streams.tick(clock.nanoTime());
        limits.tick(clock.nanoTime());
        coldStarts.tick(clock.nanoTime());
        lending.tick(clock.nanoTime());
        verdicts.tick(reports.gateways());
        placement.tick();
        load.tick(reports.gatewayCount(), changes.present().size(), clock.nanoTime());
    }

    /** Stops sending orders. */
    void close() {
        placement.close();
    }

    private void configure(long nowNanos) {
        final FleetState.View view = state.view();
        if (view.revision() == configuredRevision) {
            return;
        }
        configuredRevision = view.revision();
        placement.requireVersions(view.adapterVersions());
        final boolean isNew =
                view.configurationVersion()
                        != configuration.map(IngressConfiguration::version).orElse(0L);
        if (isNew) {
            configuration =
                    Optional.of(dialect.decodeConfiguration(Documents.decompress(view.document())));
            lending.configured(configuration.get(), nowNanos);
            streams.setLongestStreamMillis(
                    takeUpTime.millisWith(configuration.get().longestStreamMillis()));
            registry.present().forEach(this::announced);
        }
        evacuations.apply(view.evacuations(), nowNanos);
    }

    private Optional<ColdStartBound> coldStartOf(String service) {
        return configuration
                .flatMap(known -> known.service(service))
                .flatMap(IngressService::coldStart);
    }

    private Optional<EngineProfile> profileOf(String service) {
        return configuration
                .flatMap(known -> known.service(service))
                .flatMap(IngressService::engine);
    }

    private boolean isPresent(String backend) {
        return registry.find(backend)
                .filter(known -> known.state() != BackendState.GONE)
                .isPresent();
    }

    private void updateRecord(BackendAnnouncement announcement, long nowNanos) {
        final String backend = announcement.backend();
        streams.observe(announcement, nowNanos);
        if (announcement.state() == BackendState.READY && !streams.mayServe(announcement)) {
            withholdRecord(announcement);
            return;
        }
        changes.put(
                new BackendRecord(
                        backend,
                        announcement.service(),
                        announcement.host(),
                        announcement.port(),
                        announcement.failureDomain(),
                        announcement.state(),
                        registry.isSilent(backend, nowNanos),
                        announcement.requestSlots(),
                        profileOf(announcement.service()).isPresent()
                                ? placement.usable(backend)
                                : List.of(),
                        announcement.softwareVersion(),
                        announcement.startedMillis()));
    }

    /** Keeps gateways from a backend server whose software version is not committed. */
    private void withholdRecord(BackendAnnouncement announcement) {
        if (changes.present().contains(announcement.backend())) {
            changes.putGone(announcement.backend());
        }
    }
}
