package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;

/**
 * What the leader tells a gateway of parts of prompts that may end backend servers.
 *
 * @param suspectsRevision revision of the suspects
 * @param suspects all parts under suspicion
 * @param verdicts all verdicts; empty unless the update has the replicated state
 * @param probes verdicts under which the gateway may let one request through
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record PartUpdate(
        long suspectsRevision,
        List<PartSuspect> suspects,
        List<PartVerdict> verdicts,
        List<PartVerdict> probes) {
    /** Tells nothing; also stands for the update of software that does not know of parts. */
    public static final PartUpdate EMPTY = new PartUpdate(-1, List.of(), List.of(), List.of());

    public PartUpdate {
        suspects = List.copyOf(suspects);
        verdicts = List.copyOf(verdicts);
        probes = List.copyOf(probes);
    }
}
