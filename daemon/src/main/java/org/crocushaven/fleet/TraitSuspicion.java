package org.crocushaven.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Weighs which traits of requests may be guilty of crashes: those that were in several crashes and
 * on which no answer went on.
 *
 * <p>Crashes of one moment count once, since failure domains end at once. A crash that a verdict
 * explains counts against the traits of that verdict only, if there are several. Immutable.
 */
final class TraitSuspicion {
    /** Crashes within this time are taken for one event. */
    private static final long ONE_EVENT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final Map<Long, Suspect> suspects;

    private TraitSuspicion(Map<Long, Suspect> suspects) {
        this.suspects = suspects;
    }

    /**
     * Weighs crashes.
     *
     * @param crashes crashes in the order in which the connections ended
     * @param isSound whether an answer on a trait went on lately
     */
    static TraitSuspicion of(
            List<BackendCrash> crashes,
            Collection<TraitVerdict> verdicts,
            Predicate<ModelTrait> isSound) {
        final Map<Long, Suspect> suspects = new TreeMap<>();
        final VerdictIndex index = VerdictIndex.of(verdicts);
        for (final BackendCrash crash : crashes) {
            final Set<Long> explaining = new HashSet<>();
            final Set<TraitVerdict> explained = crash.explainedBy(index);
            explained.stream()
                    .filter(verdict -> verdict.traits().size() > 1)
                    .forEach(verdict -> explaining.addAll(verdict.traits()));
            for (final BrokenStart broken : crash.broken()) {
                final Set<Long> unsound = unsoundTraits(broken, isSound);
                for (final long trait : unsound) {
                    if (explained.isEmpty() || explaining.contains(trait)) {
                        suspects.computeIfAbsent(trait, Suspect::new).add(crash, broken, unsound);
                    }
                }
            }
        }
        return new TraitSuspicion(suspects);
    }

    private static Set<Long> unsoundTraits(BrokenStart broken, Predicate<ModelTrait> isSound) {
        final Set<Long> unsound = new TreeSet<>(broken.traits());
        unsound.removeIf(trait -> isSound.test(new ModelTrait(broken.model(), trait)));
        return unsound;
    }

    /** Returns the suspects with the most crashes, at most the given number. */
    List<TraitSuspect> strongest(int maximum) {
        return inOrder().stream()
                .limit(maximum)
                .map(suspect -> new TraitSuspect(suspect.trait, suspect.events))
                .toList();
    }

    /**
     * Returns the suspect with the most crashes, if it was in as many as given, under at least as
     * many different requests, and in more of either than any that was in the same crashes, but for
     * those that were always with it.
     */
    Optional<Suspect> strongest(int crashes, Predicate<Long> isEligible) {
        final List<Suspect> inOrder =
                inOrder().stream().filter(suspect -> isEligible.test(suspect.trait)).toList();
        if (inOrder.isEmpty()) {
            return Optional.empty();
        }
        final Suspect first = inOrder.get(0);
        final boolean isAlone =
                inOrder.stream()
                        .allMatch(
                                other ->
                                        first.together.contains(other.trait)
                                                || first.compareTo(other) < 0
                                                || first.sharesNoCrashWith(other));
        return first.events >= crashes && first.requests.size() >= crashes && isAlone
                ? Optional.of(first)
                : Optional.empty();
    }

    private List<Suspect> inOrder() {
        return suspects.values().stream().sorted().toList();
    }

    /** What speaks against one trait. */
    static final class Suspect implements Comparable<Suspect> {
        private final long trait;
        private final Set<Long> requests = new HashSet<>();
        private final Set<String> models = new TreeSet<>();
        private final Map<BackendStart, Long> crashes = new HashMap<>();
        private Set<Long> together;
        private long eventNanos;
        private int events;

        private Suspect(long trait) {
            this.trait = trait;
        }

        private void add(BackendCrash crash, BrokenStart broken, Set<Long> beside) {
            requests.add(broken.request());
            models.add(broken.model());
            if (together == null) {
                together = new TreeSet<>(beside);
            } else {
                together.retainAll(beside);
            }
            if (crashes.put(crash.start(), crash.brokenNanos()) == null
                    && (events == 0 || crash.brokenNanos() - eventNanos > ONE_EVENT_NANOS)) {
                eventNanos = crash.brokenNanos();
                events++;
            }
        }

        private boolean sharesNoCrashWith(Suspect other) {
            return Collections.disjoint(crashes.keySet(), other.crashes.keySet());
        }

        /** Returns the traits that were in all the same requests, ascending. */
        List<Long> traits() {
            return new ArrayList<>(together);
        }

        List<String> models() {
            return new ArrayList<>(models);
        }

        int crashCount() {
            return crashes.size();
        }

        /** Orders suspects by what speaks against them, the strongest first. */
        @Override
        public int compareTo(Suspect other) {
            return events == other.events
                    ? Integer.compare(other.requests.size(), requests.size())
                    : Integer.compare(other.events, events);
        }
    }
}
