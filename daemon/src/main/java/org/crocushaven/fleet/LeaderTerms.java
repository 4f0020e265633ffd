package org.crocushaven.fleet;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.agrona.concurrent.EpochClock;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.consensus.GroupHost;
import org.crocushaven.network.SuspensionDetector;
import org.crocushaven.observability.EventLine;
import org.crocushaven.outbound.BackendPool;
import org.crocushaven.protocol.MessageCodec;
import org.crocushaven.protocol.PeerTransport;

/**
 * Starts and ends this instance's terms as leader: creates the {@link FleetLeader} of a term from
 * what is committed and what this instance has heard itself, and closes it with the lease. Used on
 * one event loop only.
 */
final class LeaderTerms {
    /** Time for which a leader does not rely on its lease after a suspected suspension. */
    private static final long LEASE_DISTRUST_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private final ControlSettings settings;
    private final PeerTransport transport;
    private final EventLoop loop;
    private final ControlDialect dialect;
    private final NanoClock clock;
    private final EpochClock epochClock;
    private final FleetState state;
    private final BackendRegistry registry;
    private final BackendPool pool;
    private final Supplier<GroupHost> group;
    private final FleetCommits commits;
    private final Runnable noticeRequest;
    private final SuspensionDetector suspension = new SuspensionDetector();
    private FleetLeader leader;

    /** Where streams began, for the last term in which this instance led. */
    private StreamDirectory streams;

    private long streamsTerm;

    /** Decides on traits of requests, for the last term in which this instance led. */
    private TraitVerdicts verdicts;

    private long distrustedUntilNanos;

    /**
     * Creates the terms of an instance that does not lead.
     *
     * @param noticeRequest asks for a notice of an update to all gateways
     */
    LeaderTerms(
            ControlSettings settings,
            PeerTransport transport,
            EventLoop loop,
            ControlDialect dialect,
            NanoClock clock,
            EpochClock epochClock,
            FleetState state,
            BackendRegistry registry,
            BackendPool pool,
            Supplier<GroupHost> group,
            FleetCommits commits,
            Runnable noticeRequest) {
        this.settings = settings;
        this.transport = transport;
        this.loop = loop;
        this.dialect = dialect;
        this.clock = clock;
        this.epochClock = epochClock;
        this.state = state;
        this.registry = registry;
        this.pool = pool;
        this.group = group;
        this.commits = commits;
        this.noticeRequest = noticeRequest;
        this.distrustedUntilNanos = clock.nanoTime();
    }

    /** Returns whether a term has started and not ended, as far as was noticed. */
    boolean hasStarted() {
        return leader != null;
    }

    /**
     * Returns the leader of the current term, or null if this instance is not the leader; creates
     * or closes it when leadership has changed.
     *
     * @param stopped whether this instance has stopped, and so leads no more
     */
    FleetLeader current(boolean stopped) {
        final long nowNanos = clock.nanoTime();
        if (suspension.wasSuspended(nowNanos, epochClock.time())) {
            distrustedUntilNanos = nowNanos + LEASE_DISTRUST_NANOS;
            EventLine.of("suspension-suspected").warn();
        }
        final boolean isLeader =
                !stopped && nowNanos - distrustedUntilNanos >= 0 && group.get().holdsLeaderLease();
        if (!isLeader) {
            end();
            return null;
        }
        final long term = group.get().term();
        if (leader == null || leader.epoch() != term) {
            start(term, nowNanos);
        }
        return leader;
    }

    private void end() {
        if (leader != null) {
            EventLine.of("leading-ended").with("epoch", leader.epoch()).info();
            leader.close();
            leader = null;
        }
    }

    private void start(long term, long nowNanos) {
        if (leader != null) {
            leader.close();
        }
        state.departures().forEach(departure -> registry.restoreDeparture(departure, nowNanos));
        EventLine.of("leading-started")
                .with("epoch", term)
                .with("ready", registry.count(BackendState.READY))
                .with("draining", registry.count(BackendState.DRAINING))
                .with("gone", registry.count(BackendState.GONE))
                .info();
        prepareStreams(term, nowNanos);
        leader =
                new FleetLeader(
                        new EngineOrderContext(
                                dialect,
                                pool,
                                loop,
                                settings.instance(),
                                term,
                                () -> group.get().holdsLeaderLease()),
                        registry,
                        state,
                        clock,
                        settings.orderPauseMillis(),
                        settings.rateSlack(),
                        commits::proposeRegistration,
                        streams,
                        verdictsOf(term));
        registry.present().forEach(leader::announced);
        final FleetUpdateNotice notice = new FleetUpdateNotice(settings.instance());
        state.gateways().forEach(gateway -> transport.send(gateway, notice));
    }

    /** Keeps the evidence of the same term, because gateways do not report it again. */
    private TraitVerdicts verdictsOf(long term) {
        if (verdicts == null || verdicts.epoch() != term) {
            verdicts =
                    new TraitVerdicts(
                            settings.instance(),
                            term,
                            state,
                            clock,
                            epochClock,
                            change -> commits.commitAndApply(MessageCodec.encodeValue(change)),
                            noticeRequest);
        }
        return verdicts;
    }

    /**
     * Keeps what gateways reported earlier in the same term, because they do not report it again.
     */
    private void prepareStreams(long term, long nowNanos) {
        if (streams == null || streamsTerm != term) {
            streams =
                    StreamDirectory.of(
                            SoftwareVersionLog.startingAt(
                                    state,
                                    term,
                                    change ->
                                            commits.commitAndApply(
                                                    MessageCodec.encodeValue(change)),
                                    nowNanos));
            streamsTerm = term;
        } else {
            streams.restartHistory(nowNanos);
        }
    }
}
