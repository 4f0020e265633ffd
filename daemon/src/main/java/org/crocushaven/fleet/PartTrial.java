package org.crocushaven.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Decides for the leader of a term which parts of prompts end backend servers, and which of the
 * earlier verdicts no longer hold.
 *
 * <p>A part is condemned once it was in three crashes under three different requests, all gateways
 * have compared it with their memories, and none has seen an answer on it go on. Not thread-safe.
 */
final class PartTrial {
    /** Crashes on which a verdict rests. */
    static final int CRASHES = 3;

    /** Verdicts that are kept; the oldest goes. */
    static final int MAXIMUM_VERDICTS = 256;

    private static final int MAXIMUM_SUSPECTS = 64;

    /** Parts on which answers went on, as gateways say in every report: only suspects' parts. */
    private static final int MAXIMUM_SOUND = 4_096;

    /** Gateways repeat what they know with each report. */
    private static final long SOUND_MILLIS = 5_000;

    /** Time after which a gateway that has not answered is not waited for. */
    private static final long ANSWER_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

    private final String instance;
    private final CrashEvidence evidence = new CrashEvidence();
    private final SoundParts sound = SoundParts.of(MAXIMUM_SOUND, SOUND_MILLIS);
    private final Map<String, Long> answered = new HashMap<>();
    private final Map<Long, Suspected> suspectedSince = new HashMap<>();
    private List<PartSuspect> suspects = List.of();
    private long revision = 1;

    /**
     * Creates the trial of a term.
     *
     * @param instance the instance that leads
     */
    PartTrial(String instance) {
        this.instance = instance;
    }

    /** Returns the revision of the suspects. */
    long revision() {
        return revision;
    }

    /** Returns the parts under suspicion. */
    List<PartSuspect> suspects() {
        return suspects;
    }

    /** Takes in a gateway's report; returns whether it tells anything new of crashes. */
    boolean report(String gateway, PartReport report, long nowNanos) {
        answered.put(gateway, report.suspectsRevision());
        report.wentOn().forEach(part -> sound.add(part, nowNanos));
        return evidence.add(report, nowNanos);
    }

    /** Records that a backend server has started; returns whether that tells of a crash. */
    boolean started(BackendAnnouncement announcement, long nowNanos) {
        return evidence.started(announcement, nowNanos);
    }

    /**
     * Weighs all that is known; returns what should change.
     *
     * @param verdicts the verdicts in force
     * @param gateways the gateways that report
     * @param nowMillis Unix time, in milliseconds
     */
    VerdictChange weigh(
            Collection<PartVerdict> verdicts,
            Collection<String> gateways,
            long nowNanos,
            long nowMillis) {
        evidence.expire(nowNanos);
        answered.keySet().retainAll(gateways);
        final List<PartVerdict> put = new ArrayList<>();
        final List<List<Long>> removed = new ArrayList<>();
        final List<PartVerdict> standing = acquit(verdicts, put, removed, nowNanos);
        final PartSuspicion suspicion =
                PartSuspicion.of(
                        evidence.crashes(), standing, part -> sound.contains(part, nowNanos));
        suspect(suspicion.strongest(MAXIMUM_SUSPECTS), nowNanos);
        suspicion
                .strongest(CRASHES, part -> isAnswered(part, gateways, nowNanos))
                .flatMap(found -> condemn(found, standing, nowNanos, nowMillis))
                .ifPresent(verdict -> add(verdict, standing, put, removed));
        return new VerdictChange(put, removed);
    }

    /** Takes out of the verdicts what answers have shown to be sound; returns those that stand. */
    private List<PartVerdict> acquit(
            Collection<PartVerdict> verdicts,
            List<PartVerdict> put,
            List<List<Long>> removed,
            long nowNanos) {
        final List<PartVerdict> standing = new ArrayList<>();
        for (final PartVerdict verdict : verdicts) {
            final Set<Long> soundParts = new HashSet<>();
            final Set<String> spared = new HashSet<>(verdict.sparedModels());
            for (final long part : verdict.parts()) {
                final List<String> models = sound.modelsOf(part, nowNanos);
                if (models.stream().anyMatch(verdict.models()::contains)) {
                    soundParts.add(part);
                } else {
                    spared.addAll(models);
                }
            }
            final PartVerdict left =
                    verdict.withoutParts(soundParts).sparing(spared.stream().sorted().toList());
            if (!left.parts().equals(verdict.parts())) {
                removed.add(verdict.parts());
            }
            if (!left.parts().isEmpty()) {
                standing.add(left);
                if (!left.equals(verdict)) {
                    put.add(left);
                }
            }
        }
        return standing;
    }

    private void suspect(List<PartSuspect> found, long nowNanos) {
        if (found.equals(suspects)) {
            return;
        }
        suspects = found;
        revision++;
        final Set<Long> parts = new HashSet<>();
        for (final PartSuspect suspect : found) {
            parts.add(suspect.part());
            suspectedSince.putIfAbsent(suspect.part(), new Suspected(revision, nowNanos));
        }
        suspectedSince.keySet().retainAll(parts);
    }

    private boolean isAnswered(long part, Collection<String> gateways, long nowNanos) {
        final Suspected since = suspectedSince.get(part);
        return since != null
                && (nowNanos - since.nanos() >= ANSWER_NANOS
                        || gateways.stream()
                                .allMatch(
                                        gateway ->
                                                answered.getOrDefault(gateway, -1L)
                                                        >= since.revision()));
    }

    private Optional<PartVerdict> condemn(
            PartSuspicion.Suspect found,
            List<PartVerdict> standing,
            long nowNanos,
            long nowMillis) {
        final List<Long> parts = found.parts();
        if (standing.stream().anyMatch(verdict -> parts.containsAll(verdict.parts()))) {
            return Optional.empty();
        }
        final List<String> spared =
                parts.stream()
                        .flatMap(part -> sound.modelsOf(part, nowNanos).stream())
                        .distinct()
                        .sorted()
                        .toList();
        return Optional.of(
                new PartVerdict(
                        parts, found.models(), spared, found.crashCount(), instance, nowMillis, 0));
    }

    /** Adds a verdict in place of those that it includes, and of the oldest if there are many. */
    private static void add(
            PartVerdict verdict,
            List<PartVerdict> standing,
            List<PartVerdict> put,
            List<List<Long>> removed) {
        for (final PartVerdict other : standing) {
            if (other.parts().containsAll(verdict.parts())) {
                removed.add(other.parts());
                put.remove(other);
            }
        }
        if (standing.size() >= MAXIMUM_VERDICTS) {
            standing.stream()
                    .min((left, right) -> Long.compare(left.decidedMillis(), right.decidedMillis()))
                    .ifPresent(oldest -> removed.add(oldest.parts()));
        }
        put.add(verdict);
    }

    /** When a part became suspect: the revision that first named it, and the time. */
    private record Suspected(long revision, long nanos) {}
}
