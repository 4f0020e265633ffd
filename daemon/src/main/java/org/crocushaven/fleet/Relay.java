package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;

/**
 * A gateway that can take requests of another one over.
 *
 * @param gateway name of the gateway
 * @param address where it takes requests, as {@code host:port}
 * @param unreachable services of which it reaches no backend server either
 * @param failureDomain failure domain in which it runs; empty if the leader runs software without
 *     this component
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record Relay(
        String gateway, String address, List<String> unreachable, String failureDomain) {
    public Relay {
        unreachable = List.copyOf(unreachable);
        failureDomain = failureDomain == null ? "" : failureDomain;
    }
}
