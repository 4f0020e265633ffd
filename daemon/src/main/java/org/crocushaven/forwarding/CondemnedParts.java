package org.crocushaven.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.crocushaven.fleet.PartSuspect;
import org.crocushaven.fleet.PartUpdate;
import org.crocushaven.fleet.PartVerdict;

/**
 * Knows which parts of prompts the leader suspects or has condemned for ending backend servers. Not
 * thread-safe.
 */
final class CondemnedParts {
    /** Crashes from which on requests with a suspect part are not repeated. */
    private static final int REPEATED_CRASHES = 2;

    /** Time within which a granted probe may be sent. */
    private static final long PROBE_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Refused verdicts in one report. */
    private static final int MAXIMUM_REFUSED = 32;

    /** Verdicts by their first part; few have more than one. */
    private final Map<Long, List<PartVerdict>> verdicts = new HashMap<>();

    private final Map<Long, Integer> suspects = new HashMap<>();
    private final Map<List<Long>, Long> probesUntilNanos = new HashMap<>();
    private final Set<List<Long>> refused = new LinkedHashSet<>();
    private long suspectsRevision = -1;

    /** Applies what the leader tells. */
    void apply(PartUpdate update, boolean hasState, long nowNanos) {
        suspectsRevision = update.suspectsRevision();
        suspects.clear();
        for (final PartSuspect suspect : update.suspects()) {
            suspects.put(suspect.part(), suspect.crashes());
        }
        if (hasState) {
            verdicts.clear();
            for (final PartVerdict verdict : update.verdicts()) {
                verdicts.computeIfAbsent(verdict.parts().get(0), part -> new ArrayList<>())
                        .add(verdict);
            }
        }
        for (final PartVerdict probe : update.probes()) {
            probesUntilNanos.put(probe.parts(), nowNanos + PROBE_NANOS);
        }
    }

    /** Returns the verdict under which a request is refused. */
    Optional<PartVerdict> verdictOn(SharedParts request) {
        if (verdicts.isEmpty()) {
            return Optional.empty();
        }
        return request.parts().stream()
                .flatMap(part -> verdicts.getOrDefault(part, List.of()).stream())
                .filter(verdict -> verdict.condemns(request.model(), request.parts()))
                .findFirst();
    }

    /** Records that a request was refused under a verdict. */
    void recordRefused(PartVerdict verdict) {
        if (refused.size() < MAXIMUM_REFUSED) {
            refused.add(verdict.parts());
        }
    }

    /** Returns whether a request may go out as the probe of a verdict; each grant is for one. */
    boolean takeProbe(PartVerdict verdict, long nowNanos) {
        final Long untilNanos = probesUntilNanos.remove(verdict.parts());
        return untilNanos != null && nowNanos - untilNanos < 0;
    }

    /** Returns whether a part is under suspicion after several crashes. */
    boolean isSuspect(long part) {
        return suspects.getOrDefault(part, 0) >= REPEATED_CRASHES;
    }

    /** Returns the parts of all suspects and verdicts. */
    Set<Long> parts() {
        final Set<Long> parts = new HashSet<>(suspects.keySet());
        verdicts.values().forEach(list -> list.forEach(verdict -> parts.addAll(verdict.parts())));
        return parts;
    }

    /** Returns the revision of the suspects; -1 before the first update. */
    long suspectsRevision() {
        return suspectsRevision;
    }

    /** Returns the parts of verdicts under which requests were refused since the last call. */
    List<List<Long>> drainRefused() {
        final List<List<Long>> drained = List.copyOf(refused);
        refused.clear();
        return drained;
    }
}
