package org.crocushaven.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Finds the verdicts on a prompt by one of their parts. Immutable. */
public final class VerdictIndex {
    private final Map<Long, List<PartVerdict>> byFirstPart = new HashMap<>();

    private VerdictIndex() {}

    /** Returns an index of verdicts. */
    public static VerdictIndex of(Collection<PartVerdict> verdicts) {
        final VerdictIndex index = new VerdictIndex();
        verdicts.forEach(
                verdict ->
                        index.byFirstPart
                                .computeIfAbsent(verdict.parts().get(0), part -> new ArrayList<>(1))
                                .add(verdict));
        return index;
    }

    /** Returns the verdicts on a request, by its base model and all parts but the last. */
    public List<PartVerdict> on(String model, Collection<Long> sharedParts) {
        if (byFirstPart.isEmpty()) {
            return List.of();
        }
        return sharedParts.stream()
                .flatMap(part -> byFirstPart.getOrDefault(part, List.of()).stream())
                .filter(verdict -> verdict.condemns(model, sharedParts))
                .toList();
    }

    /** Returns all verdicts. */
    public List<PartVerdict> all() {
        return byFirstPart.values().stream().flatMap(List::stream).toList();
    }
}
