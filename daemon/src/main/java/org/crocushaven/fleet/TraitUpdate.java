package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;

/**
 * What the leader tells a gateway of traits of requests that may end backend servers.
 *
 * @param suspectsRevision revision of the suspects
 * @param suspects all traits under suspicion
 * @param verdicts all verdicts; empty unless the update has the replicated state
 * @param probes verdicts under which the gateway may let one request through
 * @param doubted starts of backend servers whose addresses the gateway should try, since others saw
 *     them refuse; none if the leader runs software without this component
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record TraitUpdate(
        long suspectsRevision,
        List<TraitSuspect> suspects,
        List<TraitVerdict> verdicts,
        List<TraitVerdict> probes,
        List<BackendStart> doubted) {
    /** Tells nothing; also stands for the update of software that does not know of traits. */
    public static final TraitUpdate EMPTY =
            new TraitUpdate(-1, List.of(), List.of(), List.of(), List.of());

    public TraitUpdate {
        suspects = List.copyOf(suspects);
        verdicts = List.copyOf(verdicts);
        probes = List.copyOf(probes);
        doubted = doubted == null ? List.of() : List.copyOf(doubted);
    }
}
