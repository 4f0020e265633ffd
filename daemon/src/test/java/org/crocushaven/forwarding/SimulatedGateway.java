package org.crocushaven.forwarding;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.crocushaven.admission.ShareHolder;
import org.crocushaven.fleet.BackendStart;
import org.crocushaven.fleet.GatewayReport;
import org.crocushaven.fleet.GatewayUpdate;
import org.crocushaven.fleet.PathReport;
import org.crocushaven.fleet.TraitUpdate;
import org.crocushaven.fleet.TraitVerdicts;
import org.crocushaven.fuzz.FaultCounts;
import org.crocushaven.fuzz.SimulatedTime;
import org.crocushaven.outbound.ConnectionTry;

/** A gateway's guard, and its reports to the simulated leader. */
final class SimulatedGateway {
    private static final long SOON_MILLIS = 15;
    private static final long INTERVAL_MILLIS = 100;
    private static final long LONGER_MILLIS = 150;
    private static final long TIMEOUT_MILLIS = 300;
    private static final long LATENCY_MILLIS = 10;
    private static final double LOSS = 0.03;

    private final String name;
    private final CrashScenario scenario;
    private final SimulatedTime time;
    private final RandomGenerator random;
    private final FaultCounts<CrashFault> counts;
    private CrashGuard guard;
    private long epoch;
    private long stateRevision;
    private long startedMillis = Long.MIN_VALUE / 2;
    private long life;
    private long cutUntilMillis;
    private boolean inFlight;
    private boolean soonRequested;

    SimulatedGateway(
            String name,
            CrashScenario scenario,
            SimulatedTime time,
            RandomGenerator random,
            FaultCounts<CrashFault> counts) {
        this.name = name;
        this.scenario = scenario;
        this.time = time;
        this.random = random;
        this.counts = counts;
        begin();
    }

    String name() {
        return name;
    }

    CrashGuard guard() {
        return guard;
    }

    /** Returns the number of starts, by which what an earlier one began is told. */
    long life() {
        return life;
    }

    /** Returns whether it has run and could reach its leader for the given time. */
    boolean ranSince(long millis) {
        return startedMillis <= millis;
    }

    /** Returns whether it has the replicated state, without which it serves nobody. */
    boolean isReady() {
        return epoch > 0;
    }

    /** Starts anew, knowing nothing. */
    void restart() {
        counts.count(CrashFault.GATEWAY_RESTARTED);
        startedMillis = time.millis();
        begin();
    }

    /** Loses the way to all backend servers, whose addresses refuse for a while. */
    void cutOffFor(long millis) {
        cutUntilMillis = time.millis() + millis;
    }

    boolean isCutOff() {
        return time.millis() < cutUntilMillis;
    }

    private void begin() {
        life++;
        epoch = 0;
        stateRevision = 0;
        inFlight = false;
        guard = new CrashGuard(time, this::checkEnd, this::reportSoon);
        final long current = life;
        time.after(1, () -> report(current));
    }

    private void checkEnd(BackendStart start, Consumer<ConnectionTry.Finding> then) {
        final long current = life;
        time.after(
                1 + random.nextLong(LATENCY_MILLIS),
                () -> {
                    if (current == life) {
                        then.accept(
                                isCutOff() || scenario.hasEnded(start)
                                        ? ConnectionTry.Finding.REFUSED
                                        : ConnectionTry.Finding.REACHED);
                    }
                });
    }

    private void reportSoon() {
        if (inFlight) {
            soonRequested = true;
        } else {
            final long current = life;
            time.after(SOON_MILLIS, () -> report(current));
        }
    }

    /** Handles a notice of the leader. */
    void noticed() {
        reportSoon();
    }

    private void report(long current) {
        if (current != life || inFlight) {
            return;
        }
        final Optional<TraitVerdicts> leader = scenario.leader();
        final GatewayReport report =
                new GatewayReport(
                        name,
                        epoch,
                        0,
                        0,
                        stateRevision,
                        List.of(),
                        List.of(),
                        ShareHolder.create(1).report(time.nanoTime()),
                        List.of(),
                        guard.report(time.nanoTime()),
                        List.of(),
                        PathReport.EMPTY,
                        List.of());
        inFlight = true;
        if (leader.isEmpty() || random.nextDouble() < LOSS) {
            counts.count(CrashFault.REPORT_LOST);
            time.after(TIMEOUT_MILLIS, () -> ended(current));
            return;
        }
        time.after(
                1 + random.nextLong(LATENCY_MILLIS), () -> received(current, leader.get(), report));
    }

    private void received(long current, TraitVerdicts leader, GatewayReport report) {
        if (scenario.leader().filter(leader::equals).isEmpty()) {
            time.after(TIMEOUT_MILLIS, () -> ended(current));
            return;
        }
        scenario.reported(name);
        leader.report(report, scenario.reporting());
        final long revision = scenario.stateRevision();
        final boolean hasState = report.stateRevision() != revision;
        final GatewayUpdate update =
                update(leader.epoch(), revision, hasState, leader.update(report, hasState));
        final boolean answerLost = random.nextDouble() < LOSS;
        time.after(
                1 + random.nextLong(LATENCY_MILLIS),
                () -> {
                    if (!answerLost && current == life) {
                        apply(update);
                    }
                    ended(current);
                });
    }

    private void apply(GatewayUpdate update) {
        guard.apply(update, update.hasState(), time.nanoTime());
        epoch = update.epoch();
        stateRevision = update.stateRevision();
    }

    private void ended(long current) {
        if (current == life) {
            inFlight = false;
            final long regular = INTERVAL_MILLIS + random.nextLong(LONGER_MILLIS);
            time.after(soonRequested ? SOON_MILLIS : regular, () -> report(current));
            soonRequested = false;
        }
    }

    private static GatewayUpdate update(
            long epoch, long revision, boolean hasState, TraitUpdate traits) {
        return GatewayUpdateBuilder.ofTerm(epoch).state(revision, hasState).traits(traits).build();
    }
}
