package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;

/**
 * The state of a backend server that gateways receive.
 *
 * @param backend identifier of the backend server
 * @param service its service
 * @param host its address
 * @param port its port
 * @param failureDomain its failure domain
 * @param state the state that it last reported
 * @param silent whether its heartbeats have stopped
 * @param requestSlots number of requests that it runs concurrently
 * @param held base models and adapters that can be used on it now
 * @param softwareVersion version of its software; empty if not known
 * @param startedMillis Unix time of its start, in milliseconds; 0 if not known
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record BackendRecord(
        String backend,
        String service,
        String host,
        int port,
        String failureDomain,
        BackendState state,
        boolean silent,
        int requestSlots,
        List<HeldAdapter> held,
        String softwareVersion,
        long startedMillis) {
    public BackendRecord {
        held = List.copyOf(held);
        softwareVersion = softwareVersion == null ? "" : softwareVersion;
    }

    /** Returns whether new requests may be sent to it. */
    public boolean acceptsRequests() {
        return state == BackendState.READY;
    }
}
