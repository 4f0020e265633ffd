package org.crocushaven.forwarding;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.fleet.BackendRecord;
import org.crocushaven.fleet.BackendStart;
import org.crocushaven.fleet.GatewayUpdate;
import org.crocushaven.fleet.StreamIdentifier;
import org.crocushaven.fleet.TraitReport;
import org.crocushaven.fleet.TraitVerdict;
import org.crocushaven.ingress.IngressRequest;
import org.crocushaven.observability.EventLine;
import org.crocushaven.outbound.ConnectionTry;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Keeps requests with a trait that ends backend servers away from these, and tells the leader what
 * shows which trait that is.
 *
 * <p>The gateway only gathers evidence; the leader joins that of all gateways and decides. Used on
 * the event loop only.
 */
final class CrashGuard {
    /** Traits of one request that are reported. */
    private static final int MAXIMUM_TRAITS = 32;

    /** Starts of backend servers whose end was looked into. */
    private static final int MAXIMUM_CHECKED = 256;

    /** Time after which an end is looked into once more if it is doubted again. */
    private static final long CHECK_AGAIN_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** A verdict stays for minutes at least. */
    private static final Duration RETRY_DELAY = Duration.ofSeconds(60);

    /** Time after which the next try of a request that is held back may be let through. */
    private static final Duration HOLD_DELAY = Duration.ofSeconds(1);

    private final NanoClock clock;
    private final EndCheck endCheck;
    private final Runnable reportSoon;
    private final SoundMemory sound = new SoundMemory();
    private final CrashReports reports = new CrashReports();
    private final CondemnedTraits condemned = new CondemnedTraits();
    private final Map<BackendStart, Long> checked = new LinkedHashMap<>();

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
        return new RequestGuard(this, request.requestId());
    }

    /** Returns the verdict, or the suspicion, under which a request is refused. */
    Optional<TraitVerdict> verdictOn(RequestTraits traits) {
        return condemned
                .verdictOn(traits)
                .or(() -> condemned.holdOn(traits).filter(hold -> isUnsound(traits, hold)));
    }

    private boolean isUnsound(RequestTraits traits, TraitVerdict hold) {
        return !sound.contains(traits.model(), hold.traits().get(0), clock.nanoTime());
    }

    /** Returns whether a request may go out as a probe that the leader has granted. */
    boolean takeProbe(TraitVerdict verdict) {
        return condemned.takeProbe(verdict, clock.nanoTime());
    }

    /** Returns the refusal under a verdict, and counts it for the leader. */
    ResultException refuse(TraitVerdict verdict) {
        condemned.recordRefused(verdict);
        return ResultException.of(
                        ResultCode.REQUEST_CONDEMNED,
                        verdict.traitList(),
                        verdict.crashes(),
                        verdict.decidedBy())
                .withRetryAfter(condemned.isVerdict(verdict) ? RETRY_DELAY : HOLD_DELAY);
    }

    /** Returns whether one of the traits is suspect, and no answer on it went on here lately. */
    boolean isSuspect(RequestTraits traits) {
        final long nowNanos = clock.nanoTime();
        return traits.traits().stream()
                .filter(condemned::isSuspect)
                .anyMatch(trait -> !sound.contains(traits.model(), trait, nowNanos));
    }

    /** Records that an answer goes on: it has a second event, or is complete. */
    void wentOn(RequestTraits traits) {
        sound.add(traits, clock.nanoTime());
    }

    /** Records that the connection of a request ended before its answer had gone on. */
    void broken(String requestId, RequestTraits traits, BackendRecord backend) {
        final long nowNanos = clock.nanoTime();
        final List<Long> unsound =
                traits.traits().stream()
                        .filter(trait -> !sound.contains(traits.model(), trait, nowNanos))
                        .limit(MAXIMUM_TRAITS)
                        .toList();
        if (unsound.isEmpty()) {
            return;
        }
        final BackendStart start = BackendStart.of(backend);
        final long request = StreamIdentifier.of(requestId);
        reports.addBroken(start, request, traits.model(), unsound, nowNanos);
        reportSoon.run();
        checkEnd(start);
    }

    private void checkEnd(BackendStart start) {
        final long nowNanos = clock.nanoTime();
        final Long checkedNanos = checked.get(start);
        if (checkedNanos != null && nowNanos - checkedNanos < CHECK_AGAIN_NANOS) {
            return;
        }
        checked.put(start, nowNanos);
        if (checked.size() > MAXIMUM_CHECKED) {
            checked.remove(checked.keySet().iterator().next());
        }
        endCheck.check(start, finding -> endChecked(start, finding));
    }

    private void endChecked(BackendStart start, ConnectionTry.Finding finding) {
        EventLine.of("backend-end-checked")
                .with("backend", start.backend())
                .with("started_ms", start.startedMillis())
                .with("finding", finding)
                .info();
        switch (finding) {
            case REFUSED -> reports.addEnded(start, clock.nanoTime());
            case REACHED -> reports.addReached(start, clock.nanoTime());
            default -> {
                return;
            }
        }
        reportSoon.run();
    }

    /** Returns what the leader should know. */
    TraitReport report(long nowNanos) {
        return new TraitReport(
                reports.unreportedBroken(nowNanos),
                reports.unreportedEnded(nowNanos),
                condemned.suspectsRevision(),
                sound.among(condemned.traits(), nowNanos),
                condemned.drainRefused(),
                reports.unreportedReached(nowNanos));
    }

    /** Applies the leader's update. */
    void apply(GatewayUpdate update, boolean hasState, long nowNanos) {
        reports.reportAnswered(update.epoch());
        condemned.apply(update.traits(), hasState, nowNanos);
        update.traits().doubted().forEach(this::checkEnd);
    }

    /** Finds out whether a start of a backend server has ended. */
    interface EndCheck {
        /** Passes on what its address did with a connection; called on the event loop. */
        void check(BackendStart start, Consumer<ConnectionTry.Finding> then);
    }
}
