package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.Collection;
import java.util.List;
import java.util.stream.Collectors;

/**
 * States that requests which have all of the given traits end the backend servers that run them.
 *
 * @param traits identifiers of the traits, ascending; several if they could not be told apart
 * @param models base models at which backend servers ended
 * @param sparedModels base models at which answers on the traits have gone on
 * @param crashes number of ended backend servers on which the verdict rests
 * @param decidedBy the instance that led
 * @param decidedMillis Unix time of the decision, in milliseconds
 * @param probes number of requests that were let through since, to see whether it still holds
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record TraitVerdict(
        List<Long> traits,
        List<String> models,
        List<String> sparedModels,
        int crashes,
        String decidedBy,
        long decidedMillis,
        int probes) {
    public TraitVerdict {
        traits = List.copyOf(traits);
        models = List.copyOf(models);
        sparedModels = List.copyOf(sparedModels);
    }

    /** Returns whether a request is refused, by its base model and traits. */
    public boolean condemns(String model, Collection<Long> sharedTraits) {
        return !sparedModels.contains(model) && sharedTraits.containsAll(traits);
    }

    /** Returns the traits for a log line, in hexadecimal. */
    public String traitList() {
        return traits.stream().map(Long::toHexString).collect(Collectors.joining(","));
    }

    TraitVerdict withOneMoreProbe() {
        return new TraitVerdict(
                traits, models, sparedModels, crashes, decidedBy, decidedMillis, probes + 1);
    }

    TraitVerdict withoutTraits(Collection<Long> sound) {
        final List<Long> left = traits.stream().filter(trait -> !sound.contains(trait)).toList();
        return new TraitVerdict(
                left, models, sparedModels, crashes, decidedBy, decidedMillis, probes);
    }

    TraitVerdict sparing(List<String> more) {
        return new TraitVerdict(traits, models, more, crashes, decidedBy, decidedMillis, probes);
    }
}
