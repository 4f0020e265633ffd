package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;

/**
 * What a gateway tells the leader of traits of requests that may end backend servers.
 *
 * @param broken requests whose answers had not gone on when their connections ended
 * @param ended starts of backend servers whose addresses refused connections after that
 * @param suspectsRevision revision of the suspects that the gateway has compared with its memory
 * @param wentOn traits of these, and of verdicts, on which an answer went on lately
 * @param refused traits of the verdicts under which requests were refused since the last report
 * @param reached starts of backend servers whose addresses took connections, of those whose ends
 *     the leader doubts; none if the gateway runs software without this component
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record TraitReport(
        List<BrokenStart> broken,
        List<BackendStart> ended,
        long suspectsRevision,
        List<ModelTrait> wentOn,
        List<List<Long>> refused,
        List<BackendStart> reached) {
    /** Tells nothing; also stands for the report of software that does not know of traits. */
    public static final TraitReport EMPTY =
            new TraitReport(List.of(), List.of(), -1, List.of(), List.of(), List.of());

    public TraitReport {
        broken = List.copyOf(broken);
        ended = List.copyOf(ended);
        wentOn = List.copyOf(wentOn);
        refused = List.copyOf(refused);
        reached = reached == null ? List.of() : List.copyOf(reached);
    }
}
