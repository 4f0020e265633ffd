package org.crocushaven.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.agrona.concurrent.EpochClock;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.observability.EventLine;

/**
 * Performs the leader's part in protecting backend servers from traits of requests that end them:
 * hears gateways, decides, commits the verdicts so that every later leader has them, and tells the
 * gateways. One command is proposed at a time. Used on one event loop only.
 */
public final class TraitVerdicts {
    /** Shortest time between two weighings, which read all evidence. */
    private static final long WEIGH_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private final long epoch;
    private final FleetState state;
    private final NanoClock clock;
    private final EpochClock epochClock;
    private final Function<FleetCommand, CompletableFuture<Void>> proposer;
    private final Runnable notice;
    private final TraitTrial trial;
    private final ProbeSchedule probes = new ProbeSchedule();
    private final HeldRequests held = new HeldRequests();
    private final String instance;
    private long weighedNanos;
    private boolean proposing;

    /**
     * Creates the verdicts of a term.
     *
     * @param instance the instance that leads
     * @param proposer commits a command; the future completes on the event loop
     * @param notice tells the gateways that there is news
     */
    public TraitVerdicts(
            String instance,
            long epoch,
            FleetState state,
            NanoClock clock,
            EpochClock epochClock,
            Function<FleetCommand, CompletableFuture<Void>> proposer,
            Runnable notice) {
        this.instance = instance;
        this.epoch = epoch;
        this.state = state;
        this.clock = clock;
        this.epochClock = epochClock;
        this.proposer = proposer;
        this.notice = notice;
        this.trial = new TraitTrial(instance);
        this.weighedNanos = clock.nanoTime() - WEIGH_INTERVAL_NANOS;
    }

    /** Returns the term. */
    public long epoch() {
        return epoch;
    }

    /** Takes in a gateway's report. */
    public void report(GatewayReport report, Collection<String> gateways) {
        final long nowNanos = clock.nanoTime();
        final TraitReport traits = answeredHere(report);
        final boolean isNew = trial.report(report.gateway(), traits, nowNanos);
        for (final List<Long> refused : traits.refused()) {
            probes.refused(refused, report.gateway(), nowNanos);
            held.refused(refused, report.gateway(), nowNanos);
        }
        final boolean isOpen = !trial.suspects().isEmpty() || !traits.wentOn().isEmpty();
        if ((isNew || isOpen) && nowNanos - weighedNanos >= WEIGH_INTERVAL_NANOS) {
            weigh(gateways);
        }
    }

    /** Returns a report with the revision of suspects only if this leader sent it. */
    private TraitReport answeredHere(GatewayReport report) {
        final TraitReport traits = report.traits();
        return report.epoch() == epoch
                ? traits
                : new TraitReport(
                        traits.broken(),
                        traits.ended(),
                        -1,
                        traits.wentOn(),
                        traits.refused(),
                        traits.reached());
    }

    /** Returns what a gateway has to know. */
    public TraitUpdate update(GatewayReport report, boolean withState) {
        final List<TraitVerdict> verdicts = state.view().verdicts();
        return new TraitUpdate(
                trial.revision(),
                trial.suspects(),
                withState ? verdicts : List.of(),
                grantsOf(report.gateway(), verdicts),
                trial.doubted());
    }

    private List<TraitVerdict> grantsOf(String gateway, List<TraitVerdict> verdicts) {
        final List<TraitVerdict> grants = new ArrayList<>(probes.takeGrants(gateway, verdicts));
        final List<TraitVerdict> tries =
                held.takeGrants(gateway, instance, clock.nanoTime(), epochClock.time());
        tries.forEach(
                granted ->
                        EventLine.of("held-request-granted")
                                .with("trait", granted.traitList())
                                .with("try", granted.probes())
                                .with("gateway", gateway)
                                .info());
        grants.addAll(tries);
        return grants;
    }

    /** Records an announcement of a backend server. */
    public void announced(BackendAnnouncement announcement) {
        trial.announced(announcement, clock.nanoTime());
    }

    /** Runs the periodic tasks. */
    public void tick(Collection<String> gateways) {
        weigh(gateways);
        final long nowNanos = clock.nanoTime();
        final List<TraitVerdict> verdicts = state.view().verdicts();
        probes.retain(verdicts, nowNanos);
        final List<List<Long>> forgotten = probes.forgotten(nowNanos);
        final Optional<TraitVerdict> due = probes.due(verdicts, nowNanos);
        if (!forgotten.isEmpty()) {
            propose(new VerdictChange(List.of(), forgotten), () -> {});
        } else if (due.isPresent()) {
            propose(
                    new VerdictChange(List.of(due.get().withOneMoreProbe()), List.of()),
                    () -> grant(due.get()));
        }
    }

    private void grant(TraitVerdict verdict) {
        EventLine.of("trait-probe-granted")
                .with("traits", verdict.traitList())
                .with("probe", verdict.probes() + 1)
                .with("gateway", probes.grant(verdict.traits(), clock.nanoTime()))
                .warn();
    }

    private void weigh(Collection<String> gateways) {
        weighedNanos = clock.nanoTime();
        final long revisionBefore = trial.revision();
        final VerdictChange change =
                trial.weigh(state.view().verdicts(), gateways, clock.nanoTime(), epochClock.time());
        if (trial.revision() != revisionBefore) {
            held.retain(trial.suspects(), clock.nanoTime());
            logSuspects();
            notice.run();
        }
        if (!change.isEmpty()) {
            propose(change, () -> {});
        }
    }

    private void propose(VerdictChange change, Runnable then) {
        if (proposing) {
            return;
        }
        proposing = true;
        proposer.apply(FleetCommand.verdicts(change))
                .whenComplete(
                        (done, failure) -> {
                            proposing = false;
                            if (failure == null) {
                                log(change);
                                then.run();
                            }
                        });
    }

    private void logSuspects() {
        for (final TraitSuspect suspect : trial.suspects()) {
            if (suspect.crashes() > 1) {
                EventLine.of("trait-suspected")
                        .with("trait", Long.toHexString(suspect.trait()))
                        .with("crashes", suspect.crashes())
                        .with("revision", trial.revision())
                        .info();
            }
        }
    }

    private void log(VerdictChange change) {
        for (final TraitVerdict verdict : change.put()) {
            EventLine.of("trait-condemned")
                    .with("traits", verdict.traitList())
                    .with("models", String.join(",", verdict.models()))
                    .with("spared_models", String.join(",", verdict.sparedModels()))
                    .with("crashes", verdict.crashes())
                    .with("decided_by", verdict.decidedBy())
                    .with("decided_ms", verdict.decidedMillis())
                    .with("probes", verdict.probes())
                    .with("epoch", epoch)
                    .warn();
        }
        for (final List<Long> removed : change.removed()) {
            EventLine.of("trait-verdict-ended")
                    .with("traits", removed.stream().map(Long::toHexString).toList())
                    .with("epoch", epoch)
                    .warn();
        }
    }
}
