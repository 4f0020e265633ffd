package org.crocushaven.forwarding;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.Random;
import java.util.function.Function;
import org.agrona.concurrent.NanoClock;
import org.agrona.concurrent.SystemEpochClock;
import org.agrona.concurrent.SystemNanoClock;
import org.crocushaven.ingress.IngressConfiguration;
import org.crocushaven.outbound.BackendPool;
import org.crocushaven.residency.RegionMap;

/**
 * Builds the surroundings of a request at a gateway that has just heard its leader. What a test
 * does not set is the product's own and empty; the dialect and the observer have to be set by tests
 * that send.
 */
final class ForwardingEnvironmentBuilder {
    private final EventLoop loop;
    private final ForwardingEnvironment.ConfigurationSource configuration;
    private final LeaderRequests leader;
    private NanoClock clock = SystemNanoClock.INSTANCE;
    private Random random = new Random(1);
    private IngressDialect dialect;
    private GatewayBackends view = new GatewayBackends(new Random(1));
    private ServiceRetryBudget retryBudget = ServiceRetryBudget.of(1, 10);
    private Function<ControlFreshness, KeyedAdmission> admission =
            freshness -> KeyedAdmission.of(freshness, 1);
    private long freshMillis = 10_000;
    private BegunStreamMemory streams = new BegunStreamMemory();
    private PathProbes.Prober prober = (backend, then) -> {};
    private RegionMap regions = RegionMap.EMPTY;
    private Relays relays = new Relays();
    private ForwardingObserver observer;

    private ForwardingEnvironmentBuilder(
            EventLoop loop,
            ForwardingEnvironment.ConfigurationSource configuration,
            LeaderRequests leader) {
        this.loop = loop;
        this.configuration = configuration;
        this.leader = leader;
    }

    static ForwardingEnvironmentBuilder of(
            EventLoop loop,
            ForwardingEnvironment.ConfigurationSource configuration,
            LeaderRequests leader) {
        return new ForwardingEnvironmentBuilder(loop, configuration, leader);
    }

    static ForwardingEnvironmentBuilder of(
            EventLoop loop, IngressConfiguration configuration, LeaderRequests leader) {
        return of(loop, () -> Optional.of(configuration), leader);
    }

    ForwardingEnvironmentBuilder clock(NanoClock testClock) {
        clock = testClock;
        return this;
    }

    ForwardingEnvironmentBuilder random(Random numbers) {
        random = numbers;
        return this;
    }

    ForwardingEnvironmentBuilder dialect(IngressDialect spoken) {
        dialect = spoken;
        return this;
    }

    ForwardingEnvironmentBuilder view(GatewayBackends backends) {
        view = backends;
        return this;
    }

    ForwardingEnvironmentBuilder retryBudget(double share, double extra) {
        retryBudget = ServiceRetryBudget.of(share, extra);
        return this;
    }

    ForwardingEnvironmentBuilder admission(Function<ControlFreshness, KeyedAdmission> created) {
        admission = created;
        return this;
    }

    /** Sets the time for which the gateway may go on without its leader. */
    ForwardingEnvironmentBuilder freshMillis(long millis) {
        freshMillis = millis;
        return this;
    }

    ForwardingEnvironmentBuilder streams(BegunStreamMemory memory) {
        streams = memory;
        return this;
    }

    ForwardingEnvironmentBuilder observer(ForwardingObserver notified) {
        observer = notified;
        return this;
    }

    /** Sets what tries paths; nothing does if it is not set. */
    ForwardingEnvironmentBuilder prober(PathProbes.Prober opening) {
        prober = opening;
        return this;
    }

    ForwardingEnvironmentBuilder relays(Relays known) {
        relays = known;
        return this;
    }

    ForwardingEnvironmentBuilder regions(RegionMap known) {
        regions = known;
        return this;
    }

    ForwardingEnvironment build() {
        final long nowNanos = clock.nanoTime();
        final BackendPool pool = BackendPool.create(loop, SystemNanoClock.INSTANCE);
        final BackendPaths paths = new BackendPaths(pool::hasIdle, () -> {}, nowNanos);
        final ControlFreshness freshness =
                ControlFreshness.ofMillis(freshMillis, SystemEpochClock.INSTANCE, nowNanos);
        freshness.confirm(nowNanos);
        return new ForwardingEnvironment(
                loop,
                clock,
                random,
                dialect,
                configuration,
                pool,
                view,
                new BackendHealth(),
                BackendSelector.of("a", random),
                retryBudget,
                admission.apply(freshness),
                freshness,
                new PromptReaders(),
                streams,
                leader,
                IdleCrashGuard.create(),
                paths,
                new PathProbes(clock, paths, prober),
                relays,
                regions,
                regions.regionOf("a"),
                observer);
    }
}
