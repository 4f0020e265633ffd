package org.crocushaven.forwarding;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.agrona.concurrent.EpochClock;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.fleet.BackendRecord;
import org.crocushaven.fleet.BackendStart;
import org.crocushaven.fleet.Documents;
import org.crocushaven.fleet.FleetUpdateNotice;
import org.crocushaven.fleet.GatewayReport;
import org.crocushaven.fleet.GatewayUpdate;
import org.crocushaven.fleet.PathReport;
import org.crocushaven.fleet.TakeUpTime;
import org.crocushaven.ingress.IngressConfiguration;
import org.crocushaven.network.SuspensionDetector;
import org.crocushaven.observability.EventLine;
import org.crocushaven.observability.GuardedTask;
import org.crocushaven.outbound.BackendPool;
import org.crocushaven.outbound.ConnectionTry;
import org.crocushaven.outbound.RefusalCheck;
import org.crocushaven.protocol.PeerTransport;

/**
 * Serves the clients of an instance.
 *
 * <p>All state is used on one event loop; other threads only start and stop the gateway.
 */
public final class Gateway {
    private static final long CHECK_MILLIS = 500;

    /** Many times the way there and back, so that lost packets alone hide it. */
    private static final int PROBE_TIMEOUT_MILLIS = 200;

    private final GatewaySettings settings;
    private final ForwardingObserver observer;
    private final EventLoopGroup group;
    private final EventLoop loop;
    private final NanoClock clock;
    private final EpochClock epochClock;
    private final Function<byte[], IngressConfiguration> decoder;
    private final GatewayBackends view = new GatewayBackends(new Random());
    private final BegunStreamMemory streams = new BegunStreamMemory();
    private final SuspensionDetector suspension = new SuspensionDetector();
    private final BackendPool pool;
    private final BackendHealth health = new BackendHealth();
    private final ServiceRetryBudget retryBudget;
    private final ControlFreshness freshness;
    private final KeyedAdmission admission;
    private final LeaderLink link;
    private final CrashGuard crashes;
    private final BackendPaths paths;
    private final PathProbes probes;
    private final Relays relays = new Relays();
    private final TakeUpTime takeUpTime = new TakeUpTime();
    private final IngressServer server;
    private Optional<IngressConfiguration> configuration = Optional.empty();
    private long stateRevision;
    private volatile boolean ready;
    private boolean stopping;

    private Gateway(
            GatewaySettings settings,
            EventLoopGroup group,
            PeerTransport transport,
            IngressDialect dialect,
            Function<byte[], IngressConfiguration> decoder,
            ForwardingObserver observer,
            NanoClock clock,
            EpochClock epochClock) {
        this.settings = settings;
        this.observer = observer;
        this.group = group;
        this.loop = (EventLoop) group.next();
        this.clock = clock;
        this.epochClock = epochClock;
        this.decoder = decoder;
        this.pool = BackendPool.create(loop, clock);
        this.retryBudget = ServiceRetryBudget.of(settings.retryRatio(), settings.retryExtra());
        this.freshness =
                ControlFreshness.ofMillis(settings.freshnessMillis(), epochClock, clock.nanoTime());
        this.admission = KeyedAdmission.of(freshness, epochClock.time());
        this.link =
                new LeaderLink(
                        loop,
                        transport,
                        clock,
                        this::createReport,
                        this::applyUpdate,
                        () -> view.loads().hasReportablePrompts(clock.nanoTime()));
        this.crashes = new CrashGuard(clock, this::checkEnd, link::reportSoon);
        this.paths = new BackendPaths(pool::hasIdle, link::reportSoon, clock.nanoTime());
        this.probes = new PathProbes(clock, paths, this::openConnection);
        final Random random = new Random(epochClock.time() ^ settings.instance().hashCode());
        this.server =
                new IngressServer(
                        new ForwardingEnvironment(
                                loop,
                                clock,
                                random,
                                dialect,
                                () -> configuration,
                                pool,
                                view,
                                health,
                                BackendSelector.of(settings.failureDomain(), random),
                                retryBudget,
                                admission,
                                freshness,
                                new PromptReaders(),
                                streams,
                                link,
                                crashes,
                                paths,
                                probes,
                                relays,
                                settings.regions(),
                                settings.regions().regionOf(settings.failureDomain()),
                                observer));
        transport.registerHandler(
                FleetUpdateNotice.class,
                (sender, nudge) -> {
                    loop.execute(() -> link.leaderAnnounced(nudge.leader()));
                    return null;
                });
    }

    /**
     * Returns a gateway that is not listening yet; must be called before the transport listens.
     *
     * @param group event loop group that runs the gateway
     * @param decoder decodes an accepted configuration
     */
    public static Gateway create(
            GatewaySettings settings,
            EventLoopGroup group,
            PeerTransport transport,
            IngressDialect dialect,
            Function<byte[], IngressConfiguration> decoder,
            ForwardingObserver observer,
            NanoClock clock,
            EpochClock epochClock) {
        return new Gateway(
                settings, group, transport, dialect, decoder, observer, clock, epochClock);
    }

    /** Starts searching for the leader and listening for clients. */
    public void start(InetSocketAddress address, List<String> controlInstances) {
        server.listen(group, address);
        loop.execute(
                () -> {
                    link.addControlInstances(controlInstances);
                    link.start();
                });
        loop.scheduleAtFixedRate(
                GuardedTask.of(this::runPeriodicChecks),
                CHECK_MILLIS,
                CHECK_MILLIS,
                TimeUnit.MILLISECONDS);
        loop.scheduleAtFixedRate(
                GuardedTask.of(() -> probes.look(view.records(), view.awaited())),
                PathProbes.INTERVAL_MILLIS,
                PathProbes.INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Adds instances that may hold control state. */
    public void addControlInstances(List<String> controlInstances) {
        loop.execute(() -> link.addControlInstances(controlInstances));
    }

    /** Returns whether requests should be sent to this gateway. */
    public boolean isReady() {
        return ready;
    }

    /**
     * Stops the gateway. Requests are still served until the load balancer has noticed that it is
     * not ready, and refused after that. The future completes when no connection is busy, or when
     * both times have passed.
     *
     * @param graceMillis time after which requests under way are ended, with an answer or a refusal
     *     unless a stream has begun
     * @param writeMillis time after that within which clients may take their answers
     */
    public CompletableFuture<Void> stop(long graceMillis, long writeMillis) {
        final CompletableFuture<Void> stopped = new CompletableFuture<>();
        loop.execute(
                () -> {
                    stopping = true;
                    ready = false;
                    GracefulStop.start(server, loop, clock, graceMillis, writeMillis)
                            .thenRun(
                                    () -> {
                                        link.stop();
                                        stopped.complete(null);
                                    });
                });
        return stopped;
    }

    private GatewayReport createReport(long nowNanos) {
        checkSuspension(nowNanos);
        return new GatewayReport(
                settings.instance(),
                view.epoch(),
                view.revision(),
                configuration.map(IngressConfiguration::version).orElse(0L),
                stateRevision,
                view.loads().ownLoads(nowNanos),
                view.uses().drain(),
                admission.report(nowNanos),
                streams.unreported(),
                crashes.report(nowNanos),
                view.limits().report(nowNanos),
                new PathReport(
                        settings.failureDomain(),
                        stopping ? "" : settings.ingress(),
                        paths.unreachableServices(view.records(), nowNanos),
                        paths.isAnyClosed()),
                view.cold().report(nowNanos));
    }

    private void openConnection(BackendRecord backend, Consumer<Boolean> then) {
        ConnectionTry.open(
                loop,
                new InetSocketAddress(backend.host(), backend.port()),
                PROBE_TIMEOUT_MILLIS,
                finding -> then.accept(finding == ConnectionTry.Finding.REACHED));
    }

    /** Looks into the end of a backend server, unless this gateway can reach none at all. */
    private void checkEnd(BackendStart start, Consumer<ConnectionTry.Finding> then) {
        if (paths.isCutOff(clock.nanoTime())) {
            return;
        }
        view.find(start.backend())
                .filter(record -> record.startedMillis() == start.startedMillis())
                .ifPresent(
                        record ->
                                RefusalCheck.on(loop)
                                        .check(
                                                new InetSocketAddress(record.host(), record.port()),
                                                then));
    }

    private void applyUpdate(GatewayUpdate update, long sentNanos) {
        final long nowNanos = clock.nanoTime();
        view.apply(update, sentNanos, nowNanos);
        observer.updated(update.evacuatedDomains().size(), update.coldStarts().size());
        streams.reportAnswered(update.epoch());
        crashes.apply(
                update, update.hasState() && update.stateRevision() >= stateRevision, nowNanos);
        health.retain(view.records());
        paths.retain(view.records());
        relays.apply(update.relays());
        retryBudget.setGateways(update.gateways());
        update.shares().ifPresent(grant -> admission.apply(grant, nowNanos));
        if (update.hasState() && update.stateRevision() >= stateRevision) {
            applyConfiguration(update);
            stateRevision = update.stateRevision();
        }
        if (update.configurationVersion()
                == configuration.map(IngressConfiguration::version).orElse(0L)) {
            freshness.confirm(sentNanos);
        }
        updateReadiness(nowNanos);
    }

    private void applyConfiguration(GatewayUpdate update) {
        final long known = configuration.map(IngressConfiguration::version).orElse(0L);
        if (update.configurationVersion() <= known || update.document().length == 0) {
            return;
        }
        final long startNanos = clock.nanoTime();
        configuration = Optional.of(decoder.apply(Documents.decompress(update.document())));
        streams.setRetentionMillis(
                takeUpTime.millisWith(configuration.get().longestStreamMillis()));
        EventLine.of("configuration-applied")
                .with("version", configuration.get().version())
                .with("previous", known)
                .with("decode_ms", TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - startNanos))
                .info();
    }

    private void runPeriodicChecks() {
        final long nowNanos = clock.nanoTime();
        GuardedTask.of(() -> checkSuspension(nowNanos)).run();
        GuardedTask.of(server::checkAllTimeouts).run();
        GuardedTask.of(pool::closeExpired).run();
        updateReadiness(nowNanos);
    }

    private void checkSuspension(long nowNanos) {
        if (suspension.wasSuspended(nowNanos, epochClock.time())) {
            EventLine.of("suspension-suspected").warn();
            admission.invalidate(nowNanos);
            view.cold().withdrawGrants();
            link.reportSoon();
        }
    }

    private void updateReadiness(long nowNanos) {
        final boolean nextReady =
                !stopping && configuration.isPresent() && freshness.isFresh(nowNanos);
        if (nextReady != ready) {
            EventLine.of(nextReady ? "ready" : "not-ready")
                    .with("freshness_ms", freshness.ageMillis(nowNanos))
                    .with("stopping", stopping)
                    .info();
        }
        ready = nextReady;
    }
}
