package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;

/**
 * A request whose connection to a backend server ended before its answer had gone on.
 *
 * @param start the start of the backend server that had the request
 * @param request a hash of the request's identifier
 * @param model name of the base model; empty if the request names none
 * @param traits what of the request may be guilty, without that on which an answer went on at the
 *     reporting gateway
 * @param ageMillis time since the connection ended, when it is reported
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record BrokenStart(
        BackendStart start, long request, String model, List<Long> traits, long ageMillis) {
    public BrokenStart {
        traits = List.copyOf(traits);
    }
}
