package org.crocushaven.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.function.ToLongFunction;
import org.crocushaven.configuration.AdapterVersion;

/** Orders candidates for an eviction by a value; equal ones in the order of the versions. */
final class EvictionOrder {
    private EvictionOrder() {}

    /** Returns the candidate with the lowest value; empty if there is no candidate. */
    static Optional<AdapterVersion> lowest(
            Collection<AdapterVersion> candidates, ToLongFunction<AdapterVersion> value) {
        return candidates.stream()
                .min(Comparator.comparingLong(value).thenComparing(Comparator.naturalOrder()));
    }
}
