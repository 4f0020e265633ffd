package org.crocushaven.fleet;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/**
 * Says which traits may still be guilty of a crash that verdicts explain.
 *
 * <p>Of a verdict on several traits, any may be the guilty one. Behind a verdict on a whole request
 * may stand a part of it that other requests have too. Others that were there are victims.
 * Immutable.
 */
final class CrashExplanation {
    private final Set<TraitVerdict> verdicts;
    private final VerdictIndex index;
    private final Set<Long> indistinct = new HashSet<>();

    private CrashExplanation(Set<TraitVerdict> verdicts, VerdictIndex index) {
        this.verdicts = verdicts;
        this.index = index;
        verdicts.stream()
                .map(TraitVerdict::traits)
                .filter(traits -> traits.size() > 1)
                .forEach(indistinct::addAll);
    }

    /** Returns what the verdicts in an index explain of a crash. */
    static CrashExplanation of(BackendCrash crash, VerdictIndex index) {
        return new CrashExplanation(crash.explainedBy(index), index);
    }

    /** Returns whether a trait of a request that was broken by the crash may be guilty of it. */
    boolean mayBeGuilty(long trait, BrokenStart broken) {
        return verdicts.isEmpty()
                || indistinct.contains(trait)
                || !Trait.isRequest(trait) && hasCondemnedRequest(broken);
    }

    private boolean hasCondemnedRequest(BrokenStart broken) {
        return index.on(broken.model(), broken.traits()).stream()
                .map(TraitVerdict::traits)
                .flatMap(Collection::stream)
                .anyMatch(Trait::isRequest);
    }
}
