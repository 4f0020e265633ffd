package org.crocushaven.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Finds the verdicts on a request by one of their traits. Immutable. */
public final class VerdictIndex {
    private final Map<Long, List<TraitVerdict>> byFirstTrait = new HashMap<>();

    private VerdictIndex() {}

    /** Returns an index of verdicts. */
    public static VerdictIndex of(Collection<TraitVerdict> verdicts) {
        final VerdictIndex index = new VerdictIndex();
        verdicts.forEach(
                verdict ->
                        index.byFirstTrait
                                .computeIfAbsent(
                                        verdict.traits().get(0), trait -> new ArrayList<>(1))
                                .add(verdict));
        return index;
    }

    /** Returns the verdicts on a request, by its base model and traits. */
    public List<TraitVerdict> on(String model, Collection<Long> sharedTraits) {
        if (byFirstTrait.isEmpty()) {
            return List.of();
        }
        return sharedTraits.stream()
                .flatMap(trait -> byFirstTrait.getOrDefault(trait, List.of()).stream())
                .filter(verdict -> verdict.condemns(model, sharedTraits))
                .toList();
    }

    /** Returns all verdicts. */
    public List<TraitVerdict> all() {
        return byFirstTrait.values().stream().flatMap(List::stream).toList();
    }
}
