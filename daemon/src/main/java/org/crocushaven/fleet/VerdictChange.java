package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;

/**
 * A change of the verdicts on traits of requests.
 *
 * @param put verdicts that are added, or replace those on the same traits
 * @param removed the traits of verdicts that end
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record VerdictChange(List<TraitVerdict> put, List<List<Long>> removed) {
    /** Changes nothing. */
    static final VerdictChange NONE = new VerdictChange(List.of(), List.of());

    public VerdictChange {
        put = List.copyOf(put);
        removed = List.copyOf(removed);
    }

    boolean isEmpty() {
        return put.isEmpty() && removed.isEmpty();
    }
}
