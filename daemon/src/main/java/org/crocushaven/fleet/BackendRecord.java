package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;

/**
 * A backend server as gateways see it.
 *
 * @param backend identifier of its incarnation
 * @param service its service
 * @param host its address
 * @param port its port
 * @param failureDomain where it runs
 * @param state what it last said of itself
 * @param silent whether its heartbeats have stopped
 * @param slots requests that it runs at once
 * @param held what it can serve at once: base models and adapters
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
        int slots,
        List<HeldAdapter> held) {
    public BackendRecord {
        held = List.copyOf(held);
    }

    /** Returns whether new requests may be sent to it. */
    public boolean takesRequests() {
        return state == BackendState.READY;
    }
}
