package org.crocushaven.forwarding;

import java.util.ArrayList;
import java.util.List;
import org.crocushaven.fleet.ModelTrait;
import org.crocushaven.fleet.SoundTraits;
import org.crocushaven.fleet.Trait;

/**
 * Remembers for a minute on which traits of requests answers went on at this gateway.
 *
 * <p>Whole requests, of which there are many, do not push out the parts of prompts that they share.
 * Not thread-safe.
 */
final class SoundMemory {
    private static final int PART_CAPACITY = 32_768;

    /** A minute of 270 requests a second. */
    private static final int REQUEST_CAPACITY = 16_384;

    private static final long RETENTION_MILLIS = 60_000;

    private final SoundTraits parts = SoundTraits.of(PART_CAPACITY, RETENTION_MILLIS);
    private final SoundTraits requests = SoundTraits.of(REQUEST_CAPACITY, RETENTION_MILLIS);

    /** Records that an answer on a request goes on. */
    void add(RequestTraits request, long nowNanos) {
        request.traits()
                .forEach(
                        trait ->
                                memoryOf(trait)
                                        .add(new ModelTrait(request.model(), trait), nowNanos));
    }

    /** Returns whether an answer on a trait went on lately at a base model. */
    boolean contains(String model, long trait, long nowNanos) {
        return memoryOf(trait).contains(new ModelTrait(model, trait), nowNanos);
    }

    /** Returns at which base models answers went on lately, of the given traits. */
    List<ModelTrait> among(Iterable<Long> traits, long nowNanos) {
        final List<ModelTrait> found = new ArrayList<>();
        for (final long trait : traits) {
            memoryOf(trait)
                    .modelsOf(trait, nowNanos)
                    .forEach(model -> found.add(new ModelTrait(model, trait)));
        }
        return found;
    }

    private SoundTraits memoryOf(long trait) {
        return Trait.isRequest(trait) ? requests : parts;
    }
}
