package org.crocushaven.forwarding;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.crocushaven.fleet.TraitSuspect;
import org.crocushaven.fleet.TraitUpdate;
import org.crocushaven.fleet.TraitVerdict;
import org.crocushaven.fleet.VerdictIndex;

/**
 * Knows which traits of requests the leader suspects or has condemned for ending backend servers.
 * Not thread-safe.
 */
final class CondemnedTraits {
    /** Crashes from which on requests with a suspect trait are not repeated. */
    private static final int REPEATED_CRASHES = 2;

    /** Time within which a granted probe may be sent. */
    private static final long PROBE_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Refused verdicts in one report. */
    private static final int MAXIMUM_REFUSED = 32;

    /** Who decides on requests that are held back. */
    private static final String SUSPICION = "suspicion";

    private final Map<Long, Integer> suspects = new HashMap<>();
    private final Map<List<Long>, Long> probesUntilNanos = new HashMap<>();
    private final Set<List<Long>> refused = new LinkedHashSet<>();
    private VerdictIndex verdicts = VerdictIndex.of(List.of());
    private long suspectsRevision = -1;

    /** Applies what the leader tells. */
    void apply(TraitUpdate update, boolean hasState, long nowNanos) {
        suspectsRevision = update.suspectsRevision();
        suspects.clear();
        for (final TraitSuspect suspect : update.suspects()) {
            suspects.put(suspect.trait(), suspect.crashes());
        }
        if (hasState) {
            verdicts = VerdictIndex.of(update.verdicts());
        }
        for (final TraitVerdict probe : update.probes()) {
            probesUntilNanos.put(probe.traits(), nowNanos + PROBE_NANOS);
        }
    }

    /** Returns the verdict under which a request is refused. */
    Optional<TraitVerdict> verdictOn(RequestTraits request) {
        return verdicts.on(request.model(), request.traits()).stream().findFirst();
    }

    /** Returns the suspicion for which a whole request is held back, in the form of a verdict. */
    Optional<TraitVerdict> holdOn(RequestTraits request) {
        return request.traits().stream()
                .limit(1)
                .filter(whole -> new TraitSuspect(whole, crashesOf(whole)).isHeld())
                .map(
                        whole ->
                                new TraitVerdict(
                                        List.of(whole),
                                        List.of(),
                                        List.of(),
                                        crashesOf(whole),
                                        SUSPICION,
                                        0,
                                        0))
                .findFirst();
    }

    /** Returns whether a refusal rests on a verdict, and not on a suspicion. */
    boolean isVerdict(TraitVerdict refused) {
        return !refused.decidedBy().equals(SUSPICION);
    }

    private int crashesOf(long trait) {
        return suspects.getOrDefault(trait, 0);
    }

    /** Records that a request was refused under a verdict. */
    void recordRefused(TraitVerdict verdict) {
        if (refused.size() < MAXIMUM_REFUSED) {
            refused.add(verdict.traits());
        }
    }

    /** Returns whether a request may go out as the probe of a verdict; each grant is for one. */
    boolean takeProbe(TraitVerdict verdict, long nowNanos) {
        final Long untilNanos = probesUntilNanos.remove(verdict.traits());
        return untilNanos != null && nowNanos - untilNanos < 0;
    }

    /** Returns whether a trait is under suspicion after several crashes. */
    boolean isSuspect(long trait) {
        return crashesOf(trait) >= REPEATED_CRASHES;
    }

    /** Returns the traits of all suspects and verdicts. */
    Set<Long> traits() {
        final Set<Long> traits = new HashSet<>(suspects.keySet());
        verdicts.all().forEach(verdict -> traits.addAll(verdict.traits()));
        return traits;
    }

    /** Returns the revision of the suspects; -1 before the first update. */
    long suspectsRevision() {
        return suspectsRevision;
    }

    /** Returns the traits of verdicts under which requests were refused since the last call. */
    List<List<Long>> drainRefused() {
        final List<List<Long>> drained = List.copyOf(refused);
        refused.clear();
        return drained;
    }
}
