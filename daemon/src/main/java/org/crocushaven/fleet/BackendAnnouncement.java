package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import org.crocushaven.protocol.Message;

/**
 * One heartbeat or farewell of a backend server.
 *
 * @param backend identifier of the backend server's incarnation
 * @param service its service; empty text in a farewell
 * @param host its address
 * @param port its port
 * @param failureDomain where it runs
 * @param state what it says of itself
 * @param slots requests that it runs at once
 * @param startedMillis Unix time of its start; 0 when it did not tell
 * @param sequence grows with each heartbeat of one start
 * @param holdsModels whether it told what it holds
 * @param held base models and adapters that it holds
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record BackendAnnouncement(
        String backend,
        String service,
        String host,
        int port,
        String failureDomain,
        BackendState state,
        int slots,
        long startedMillis,
        long sequence,
        boolean holdsModels,
        List<HeldAdapter> held)
        implements Message {
    public BackendAnnouncement {
        held = List.copyOf(held);
    }

    /** Returns the farewell of a backend server that is only known by its identifier. */
    public static BackendAnnouncement farewell(String backend) {
        return new BackendAnnouncement(
                backend, "", "", 0, "", BackendState.GONE, 0, 0, Long.MAX_VALUE, false, List.of());
    }

    /** Returns the same announcement in another state. */
    public BackendAnnouncement in(BackendState other) {
        return new BackendAnnouncement(
                backend,
                service,
                host,
                port,
                failureDomain,
                other,
                slots,
                startedMillis,
                sequence,
                holdsModels,
                held);
    }

    /** Returns the address as text. */
    public String address() {
        return host + ':' + port;
    }
}
