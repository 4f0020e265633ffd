package org.crocushaven.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Weighs which traits of requests may be guilty of crashes: those that were in several crashes and
 * on which no answer went on.
 *
 * <p>Crashes of one moment count once, since failure domains end at once, unless the same try of a
 * whole request met them one after the other. A crash that a verdict explains counts only against
 * what may stand behind that verdict. Immutable.
 */
final class TraitSuspicion {
    /** Crashes within this time are taken for one event. */
    private static final long ONE_EVENT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Events from which on gateways are asked whether a whole request went on. */
    private static final int ASKED_EVENTS_OF_REQUEST = 2;

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
            final CrashExplanation explanation = CrashExplanation.of(crash, index);
            for (final BrokenStart broken : crash.broken()) {
                final Set<Long> unsound = unsoundTraits(broken, isSound);
                for (final long trait : unsound) {
                    if (explanation.mayBeGuilty(trait, broken)) {
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

    /**
     * Returns the suspects that gateways are asked about, the strongest first.
     *
     * @param isEligible whether all is known of a suspect
     */
    List<TraitSuspect> strongest(int maximum, Predicate<Suspect> isEligible) {
        return inOrder().stream()
                .filter(Suspect::isAskedAbout)
                .limit(maximum)
                .map(
                        suspect ->
                                new TraitSuspect(
                                        suspect.trait, suspect.publishedCrashes(isEligible)))
                .toList();
    }

    /**
     * Returns what is guilty: the strongest suspect, or else the strongest whole request, if it was
     * in as many crashes as given, under at least as many tries of clients, and in more of either
     * than any other that was in the same crashes, but for those that were always with it.
     *
     * @param isEligible whether all is known of a suspect
     */
    Optional<Suspect> guilty(int crashes, Predicate<Suspect> isEligible) {
        final List<Suspect> inOrder = inOrder();
        return inOrder.stream()
                .filter(suspect -> suspect == inOrder.get(0) || suspect.isRequest())
                .filter(suspect -> suspect.isInEnough(crashes))
                .filter(isEligible)
                .filter(suspect -> inOrder.stream().allMatch(suspect::isStrongerThan))
                .findFirst();
    }

    /** Returns the crashes of all suspects that were in as many as given. */
    Set<BackendStart> crashesOfSuspectsIn(int crashes) {
        return suspects.values().stream()
                .filter(suspect -> suspect.events >= crashes)
                .flatMap(suspect -> suspect.crashes.keySet().stream())
                .collect(Collectors.toCollection(LinkedHashSet::new));
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
        private final Set<BackendStart> counted = new HashSet<>();
        private Set<Long> together;
        private long eventNanos;
        private int events;

        private Suspect(long trait) {
            this.trait = trait;
        }

        private void add(BackendCrash crash, BrokenStart broken, Set<Long> beside) {
            final boolean wasInEarlierCrash = !requests.add(broken.request());
            models.add(broken.model());
            if (together == null) {
                together = new TreeSet<>(beside);
            } else {
                together.retainAll(beside);
            }
            crashes.put(crash.start(), crash.brokenNanos());
            final boolean isLater =
                    events == 0 || crash.brokenNanos() - eventNanos > ONE_EVENT_NANOS;
            if ((isLater || isRequest() && wasInEarlierCrash) && counted.add(crash.start())) {
                eventNanos = crash.brokenNanos();
                events++;
            }
        }

        private boolean isAskedAbout() {
            return !isRequest() || events >= ASKED_EVENTS_OF_REQUEST;
        }

        private int publishedCrashes(Predicate<Suspect> isEligible) {
            return !isRequest() || isEligible.test(this)
                    ? events
                    : Math.min(events, ASKED_EVENTS_OF_REQUEST);
        }

        private boolean isInEnough(int crashesNeeded) {
            return events >= crashesNeeded && requests.size() >= crashesNeeded;
        }

        private boolean isStrongerThan(Suspect other) {
            return together.contains(other.trait)
                    || compareTo(other) < 0
                    || Collections.disjoint(crashes.keySet(), other.crashes.keySet());
        }

        private boolean isRequest() {
            return Trait.isRequest(trait);
        }

        long trait() {
            return trait;
        }

        Set<BackendStart> crashes() {
            return crashes.keySet();
        }

        /** Returns the time of the last crash, by which all gateways must have reported. */
        long lastCrashNanos() {
            return Collections.max(crashes.values());
        }

        /**
         * Returns what a verdict is on, ascending: the whole request alone, or the traits that were
         * in all the same requests.
         */
        List<Long> traits() {
            return isRequest() ? List.of(trait) : new ArrayList<>(together);
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
