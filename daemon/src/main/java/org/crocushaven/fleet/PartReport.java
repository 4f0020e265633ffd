package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;

/**
 * What a gateway tells the leader of parts of prompts that may end backend servers.
 *
 * @param broken requests whose answers had not gone on when their connections ended
 * @param ended starts of backend servers whose addresses refused connections after that
 * @param suspectsRevision revision of the suspects that the gateway has compared with its memory
 * @param wentOn parts of these, and of verdicts, on which an answer went on lately
 * @param refused parts of the verdicts under which requests were refused since the last report
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record PartReport(
        List<BrokenStart> broken,
        List<BackendStart> ended,
        long suspectsRevision,
        List<ModelPart> wentOn,
        List<List<Long>> refused) {
    /** Tells nothing; also stands for the report of software that does not know of parts. */
    public static final PartReport EMPTY =
            new PartReport(List.of(), List.of(), -1, List.of(), List.of());

    public PartReport {
        broken = List.copyOf(broken);
        ended = List.copyOf(ended);
        wentOn = List.copyOf(wentOn);
        refused = List.copyOf(refused);
    }
}
