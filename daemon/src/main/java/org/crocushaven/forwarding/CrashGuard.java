package org.crocushaven.forwarding;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.fleet.BackendRecord;
import org.crocushaven.fleet.BackendStart;
import org.crocushaven.fleet.GatewayUpdate;
import org.crocushaven.fleet.ModelTrait;
import org.crocushaven.fleet.SoundTraits;
import org.crocushaven.fleet.StreamIdentifier;
import org.crocushaven.fleet.TraitReport;
import org.crocushaven.fleet.TraitVerdict;
import org.crocushaven.ingress.IngressRequest;
import org.crocushaven.observability.EventLine;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Keeps requests away from backend servers whose prompts have a part that ends those that answer on
 * it, and tells the leader what shows which part that is.
 *
 * <p>The gateway only gathers evidence; the leader joins that of all gateways and decides. Used on
 * the event loop only.
 */
final class CrashGuard {
    /** Parts on which answers went on; those of the last minute count. */
    private static final int SOUND_CAPACITY = 32_768;

    private static final long SOUND_MILLIS = 60_000;

    /** Parts of one request that are reported. */
    private static final int MAXIMUM_PARTS = 32;

    /** Starts of backend servers whose end was looked into. */
    private static final int MAXIMUM_CHECKED = 256;

    /** A verdict stays for minutes at least. */
    private static final Duration RETRY_DELAY = Duration.ofSeconds(60);

    private final NanoClock clock;
    private final EndCheck endCheck;
    private final Runnable reportSoon;
    private final SoundTraits sound = SoundTraits.of(SOUND_CAPACITY, SOUND_MILLIS);
    private final CrashReports reports = new CrashReports();
    private final CondemnedTraits condemned = new CondemnedTraits();
    private final Set<BackendStart> checked = new LinkedHashSet<>();

    /**
     * Creates a guard that knows nothing yet.
     *
     * @param endCheck finds out whether a backend server has ended
     * @param reportSoon brings the next report forward
     */
    CrashGuard(NanoClock clock, EndCheck endCheck, Runnable reportSoon) {
        this.clock = clock;
        this.endCheck = endCheck;
        this.reportSoon = reportSoon;
    }

    /** Returns the guard of one request. */
    RequestGuard of(IngressRequest request) {
        return new RequestGuard(this, request.requestId(), SharedParts.of(request));
    }

    /** Returns the verdict under which a request is refused. */
    Optional<TraitVerdict> verdictOn(SharedParts shared) {
        return condemned.verdictOn(shared);
    }

    /** Returns whether a request may go out as a probe that the leader has granted. */
    boolean takeProbe(TraitVerdict verdict) {
        return condemned.takeProbe(verdict, clock.nanoTime());
    }

    /** Returns the refusal under a verdict, and counts it for the leader. */
    ResultException refuse(TraitVerdict verdict) {
        condemned.recordRefused(verdict);
        return ResultException.of(
                        ResultCode.PROMPT_PART_CONDEMNED,
                        verdict.traitList(),
                        verdict.crashes(),
                        verdict.decidedBy())
                .withRetryAfter(RETRY_DELAY);
    }

    /** Returns whether one of the parts is suspect, and no answer on it went on here lately. */
    boolean isSuspect(SharedParts shared) {
        final long nowNanos = clock.nanoTime();
        return shared.parts().stream()
                .filter(condemned::isSuspect)
                .anyMatch(part -> !sound.contains(new ModelTrait(shared.model(), part), nowNanos));
    }

    /** Records that an answer goes on: it has a second event, or is complete. */
    void wentOn(SharedParts shared) {
        final long nowNanos = clock.nanoTime();
        shared.parts().forEach(part -> sound.add(new ModelTrait(shared.model(), part), nowNanos));
    }

    /** Records that the connection of a request ended before its answer had gone on. */
    void broken(String requestId, SharedParts shared, BackendRecord backend) {
        final long nowNanos = clock.nanoTime();
        final List<Long> unsound =
                shared.parts().stream()
                        .filter(
                                part ->
                                        !sound.contains(
                                                new ModelTrait(shared.model(), part), nowNanos))
                        .limit(MAXIMUM_PARTS)
                        .toList();
        if (unsound.isEmpty()) {
            return;
        }
        final BackendStart start = BackendStart.of(backend);
        final long request = StreamIdentifier.of(requestId);
        reports.addBroken(start, request, shared.model(), unsound, nowNanos);
        reportSoon.run();
        checkEnd(start);
    }

    private void checkEnd(BackendStart start) {
        if (!checked.add(start)) {
            return;
        }
        if (checked.size() > MAXIMUM_CHECKED) {
            checked.remove(checked.iterator().next());
        }
        endCheck.check(
                start,
                ended -> {
                    EventLine.of("backend-end-checked")
                            .with("backend", start.backend())
                            .with("started_ms", start.startedMillis())
                            .with("ended", ended)
                            .info();
                    if (ended) {
                        reports.addEnded(start, clock.nanoTime());
                        reportSoon.run();
                    }
                });
    }

    /** Returns what the leader should know. */
    TraitReport report(long nowNanos) {
        return new TraitReport(
                reports.unreportedBroken(nowNanos),
                reports.unreportedEnded(nowNanos),
                condemned.suspectsRevision(),
                soundAmong(condemned.traits(), nowNanos),
                condemned.drainRefused());
    }

    private List<ModelTrait> soundAmong(Set<Long> traits, long nowNanos) {
        final List<ModelTrait> found = new ArrayList<>();
        for (final long trait : traits) {
            sound.modelsOf(trait, nowNanos)
                    .forEach(model -> found.add(new ModelTrait(model, trait)));
        }
        return found;
    }

    /** Applies the leader's update. */
    void apply(GatewayUpdate update, boolean hasState, long nowNanos) {
        reports.reportAnswered(update.epoch());
        condemned.apply(update.traits(), hasState, nowNanos);
    }

    /** Finds out whether a start of a backend server has ended. */
    interface EndCheck {
        /** Passes on whether the address refuses connections; called on the event loop. */
        void check(BackendStart start, Consumer<Boolean> then);
    }
}
