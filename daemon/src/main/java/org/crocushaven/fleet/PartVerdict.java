package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.Collection;
import java.util.List;
import java.util.stream.Collectors;

/**
 * States that prompts which have all of the given parts, other than as their last, end the backend
 * servers that answer on them.
 *
 * @param parts identifiers of the parts, ascending; several if they could not be told apart
 * @param models base models at which backend servers ended
 * @param sparedModels base models at which answers on the parts have gone on
 * @param crashes number of ended backend servers on which the verdict rests
 * @param decidedBy the instance that led
 * @param decidedMillis Unix time of the decision, in milliseconds
 * @param probes number of requests that were let through since, to see whether it still holds
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record PartVerdict(
        List<Long> parts,
        List<String> models,
        List<String> sparedModels,
        int crashes,
        String decidedBy,
        long decidedMillis,
        int probes) {
    public PartVerdict {
        parts = List.copyOf(parts);
        models = List.copyOf(models);
        sparedModels = List.copyOf(sparedModels);
    }

    /** Returns whether a request is refused, by its base model and all parts but the last. */
    public boolean condemns(String model, Collection<Long> sharedParts) {
        return !sparedModels.contains(model) && sharedParts.containsAll(parts);
    }

    /** Returns the parts for a log line, in hexadecimal. */
    public String partList() {
        return parts.stream().map(Long::toHexString).collect(Collectors.joining(","));
    }

    PartVerdict withOneMoreProbe() {
        return new PartVerdict(
                parts, models, sparedModels, crashes, decidedBy, decidedMillis, probes + 1);
    }

    PartVerdict withoutParts(Collection<Long> sound) {
        final List<Long> left = parts.stream().filter(part -> !sound.contains(part)).toList();
        return new PartVerdict(
                left, models, sparedModels, crashes, decidedBy, decidedMillis, probes);
    }

    PartVerdict sparing(List<String> more) {
        return new PartVerdict(parts, models, more, crashes, decidedBy, decidedMillis, probes);
    }
}
