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
import java.util.function.Predicate;

/**
 * Decides for the leader of a term which traits of requests end backend servers, and which of the
 * earlier verdicts no longer hold.
 *
 * <p>A trait is condemned once it was in three crashes under three different tries of clients, all
 * gateways have compared it with their memories and reported since the last crash, and none has
 * seen an answer on it go on. Not thread-safe.
 */
final class TraitTrial {
    /** Crashes on which a verdict rests. */
    static final int CRASHES = 3;

    /** Verdicts that are kept; the oldest goes. */
    static final int MAXIMUM_VERDICTS = 256;

    private static final int MAXIMUM_SUSPECTS = 64;

    /** Crashes of a suspect from which on gateways are asked to confirm them. */
    private static final int DOUBTED_CRASHES = 2;

    private static final int MAXIMUM_DOUBTED = 32;

    /** Traits on which answers went on, as gateways say in every report: only suspects' traits. */
    private static final int MAXIMUM_SOUND = 4_096;

    /** Gateways repeat what they know of parts with each report. */
    private static final long SOUND_MILLIS = 5_000;

    /** A whole request that went on is cleared of the crashes before. */
    private static final long SOUND_REQUEST_MILLIS = 60_000;

    /** Time after which a gateway that has not answered is not waited for. */
    private static final long ANSWER_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

    /** Time within which a gateway sees that connections have ended, and sends its report. */
    private static final long SETTLING_NANOS = TimeUnit.MILLISECONDS.toNanos(30);

    private final String instance;
    private final CrashEvidence evidence = new CrashEvidence();
    private final SoundTraits sound = SoundTraits.of(MAXIMUM_SOUND, SOUND_MILLIS);
    private final SoundTraits soundRequests = SoundTraits.of(MAXIMUM_SOUND, SOUND_REQUEST_MILLIS);
    private final Map<String, Long> answered = new HashMap<>();
    private final Map<String, Long> reportedNanos = new HashMap<>();
    private final Map<Long, Suspected> suspectedSince = new HashMap<>();
    private List<TraitSuspect> suspects = List.of();
    private List<BackendStart> doubted = List.of();
    private long revision = 1;

    /**
     * Creates the trial of a term.
     *
     * @param instance the instance that leads
     */
    TraitTrial(String instance) {
        this.instance = instance;
    }

    private SoundTraits memoryOf(long trait) {
        return Trait.isRequest(trait) ? soundRequests : sound;
    }

    /** Returns the revision of the suspects. */
    long revision() {
        return revision;
    }

    /** Returns the traits under suspicion. */
    List<TraitSuspect> suspects() {
        return suspects;
    }

    /** Takes in a gateway's report; returns whether it tells anything new of crashes. */
    boolean report(String gateway, TraitReport report, long nowNanos) {
        answered.put(gateway, report.suspectsRevision());
        reportedNanos.put(gateway, nowNanos);
        report.wentOn().forEach(trait -> memoryOf(trait.trait()).add(trait, nowNanos));
        return evidence.add(gateway, report, nowNanos);
    }

    /** Returns the starts whose ends gateways should look into. */
    List<BackendStart> doubted() {
        return doubted;
    }

    /** Records an announcement; returns whether that tells of a crash. */
    boolean announced(BackendAnnouncement announcement, long nowNanos) {
        return evidence.announced(announcement, nowNanos);
    }

    /**
     * Weighs all that is known; returns what should change.
     *
     * @param verdicts the verdicts in force
     * @param gateways the gateways that report
     * @param nowMillis Unix time, in milliseconds
     */
    VerdictChange weigh(
            Collection<TraitVerdict> verdicts,
            Collection<String> gateways,
            long nowNanos,
            long nowMillis) {
        evidence.expire(nowNanos);
        answered.keySet().retainAll(gateways);
        reportedNanos.keySet().retainAll(gateways);
        final List<TraitVerdict> put = new ArrayList<>();
        final List<List<Long>> removed = new ArrayList<>();
        final List<TraitVerdict> standing = acquit(verdicts, put, removed, nowNanos);
        final TraitSuspicion suspicion =
                TraitSuspicion.of(
                        evidence.crashes(),
                        standing,
                        trait -> memoryOf(trait.trait()).contains(trait, nowNanos));
        final Predicate<TraitSuspicion.Suspect> isAnswered =
                suspect -> isAnswered(suspect, gateways, nowNanos);
        suspect(suspicion.strongest(MAXIMUM_SUSPECTS, isAnswered), nowNanos);
        doubt(suspicion.crashesOfSuspectsIn(DOUBTED_CRASHES), gateways, nowNanos);
        suspicion
                .guilty(CRASHES, isAnswered)
                .flatMap(found -> condemn(found, standing, nowNanos, nowMillis))
                .ifPresent(verdict -> add(verdict, standing, put, removed));
        return new VerdictChange(put, removed);
    }

    /** Takes out of the verdicts what answers have shown to be sound; returns those that stand. */
    private List<TraitVerdict> acquit(
            Collection<TraitVerdict> verdicts,
            List<TraitVerdict> put,
            List<List<Long>> removed,
            long nowNanos) {
        final List<TraitVerdict> standing = new ArrayList<>();
        for (final TraitVerdict verdict : verdicts) {
            final Set<Long> soundTraits = new HashSet<>();
            final Set<String> spared = new HashSet<>(verdict.sparedModels());
            for (final long trait : verdict.traits()) {
                final List<String> models = memoryOf(trait).modelsOf(trait, nowNanos);
                if (models.stream().anyMatch(verdict.models()::contains)) {
                    soundTraits.add(trait);
                } else {
                    spared.addAll(models);
                }
            }
            final TraitVerdict left =
                    verdict.withoutTraits(soundTraits).sparing(spared.stream().sorted().toList());
            if (!left.traits().equals(verdict.traits())) {
                removed.add(verdict.traits());
            }
            if (!left.traits().isEmpty()) {
                standing.add(left);
                if (!left.equals(verdict)) {
                    put.add(left);
                }
            }
        }
        return standing;
    }

    private void doubt(Set<BackendStart> ends, Collection<String> gateways, long nowNanos) {
        final List<BackendStart> next = evidence.doubt(ends, gateways, MAXIMUM_DOUBTED, nowNanos);
        if (!next.equals(doubted)) {
            doubted = next;
            revision++;
        }
    }

    private void suspect(List<TraitSuspect> found, long nowNanos) {
        if (found.equals(suspects)) {
            return;
        }
        suspects = found;
        revision++;
        final Set<Long> traits = new HashSet<>();
        for (final TraitSuspect suspect : found) {
            traits.add(suspect.trait());
            suspectedSince.putIfAbsent(suspect.trait(), new Suspected(revision, nowNanos));
        }
        suspectedSince.keySet().retainAll(traits);
    }

    /** Returns whether all gateways have told what they know of a suspect and its crashes. */
    private boolean isAnswered(
            TraitSuspicion.Suspect suspect, Collection<String> gateways, long nowNanos) {
        return isCompared(suspect.trait(), gateways, nowNanos)
                && isReportedAfter(suspect.lastCrashNanos(), gateways, nowNanos)
                && evidence.areConfirmed(suspect.crashes(), gateways, nowNanos);
    }

    private boolean isReportedAfter(long crashNanos, Collection<String> gateways, long nowNanos) {
        return nowNanos - crashNanos >= ANSWER_NANOS
                || gateways.stream()
                        .map(gateway -> reportedNanos.getOrDefault(gateway, crashNanos))
                        .allMatch(reported -> reported - crashNanos >= SETTLING_NANOS);
    }

    private boolean isCompared(long trait, Collection<String> gateways, long nowNanos) {
        final Suspected since = suspectedSince.get(trait);
        return since != null
                && (nowNanos - since.nanos() >= ANSWER_NANOS
                        || gateways.stream()
                                .allMatch(
                                        gateway ->
                                                answered.getOrDefault(gateway, -1L)
                                                        >= since.revision()));
    }

    private Optional<TraitVerdict> condemn(
            TraitSuspicion.Suspect found,
            List<TraitVerdict> standing,
            long nowNanos,
            long nowMillis) {
        final List<Long> traits = found.traits();
        if (standing.stream().anyMatch(verdict -> traits.containsAll(verdict.traits()))) {
            return Optional.empty();
        }
        final List<String> spared =
                traits.stream()
                        .flatMap(trait -> memoryOf(trait).modelsOf(trait, nowNanos).stream())
                        .distinct()
                        .sorted()
                        .toList();
        return Optional.of(
                new TraitVerdict(
                        traits,
                        found.models(),
                        spared,
                        found.crashCount(),
                        instance,
                        nowMillis,
                        0));
    }

    /** Adds a verdict in place of those that it includes, and of the oldest if there are many. */
    private static void add(
            TraitVerdict verdict,
            List<TraitVerdict> standing,
            List<TraitVerdict> put,
            List<List<Long>> removed) {
        for (final TraitVerdict other : standing) {
            if (other.traits().containsAll(verdict.traits())) {
                removed.add(other.traits());
                put.remove(other);
            }
        }
        if (standing.size() >= MAXIMUM_VERDICTS) {
            standing.stream()
                    .min((left, right) -> Long.compare(left.decidedMillis(), right.decidedMillis()))
                    .ifPresent(oldest -> removed.add(oldest.traits()));
        }
        put.add(verdict);
    }

    /** When a trait became suspect: the revision that first named it, and the time. */
    private record Suspected(long revision, long nanos) {}
}
