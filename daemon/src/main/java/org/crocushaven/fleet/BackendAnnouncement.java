package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import org.crocushaven.protocol.Message;

/**
 * A heartbeat or deregistration of a backend server.
 *
 * @param backend identifier of the backend server; a restart may keep it or change it
 * @param service its service; empty in a deregistration
 * @param host its address
 * @param port its port
 * @param failureDomain its failure domain
 * @param state the state that it reports
 * @param requestSlots number of requests that it runs concurrently
 * @param startedMillis Unix time of its start, in milliseconds; 0 if not reported
 * @param sequence grows with each heartbeat after a start
 * @param holdsModels whether it reported what it holds
 * @param held base models and adapters that it holds
 * @param softwareVersion version of its software; empty if not reported, or if the announcement was
 *     stored before the component existed
 * @param coldMillis time for which it still is cold, in milliseconds
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record BackendAnnouncement(
        String backend,
        String service,
        String host,
        int port,
        String failureDomain,
        BackendState state,
        int requestSlots,
        long startedMillis,
        long sequence,
        boolean holdsModels,
        List<HeldAdapter> held,
        String softwareVersion,
        long coldMillis)
        implements Message {
    public BackendAnnouncement {
        held = List.copyOf(held);
        softwareVersion = softwareVersion == null ? "" : softwareVersion;
    }

    /** Returns the deregistration of a backend server of which only the identifier is known. */
    public static BackendAnnouncement deregistration(String backend) {
        return new BackendAnnouncement(
                backend,
                "",
                "",
                0,
                "",
                BackendState.GONE,
                0,
                0,
                Long.MAX_VALUE,
                false,
                List.of(),
                "",
                0);
    }

    /** Returns whether this is a deregistration, which names nothing but the backend server. */
    public boolean isDeregistration() {
        return service.isEmpty();
    }

    /**
     * Returns whether this replaces what is known of the same backend server, by start and
     * sequence. After the end of a start only a later start counts.
     */
    public boolean isNewerThan(BackendAnnouncement known) {
        if (startedMillis != known.startedMillis) {
            return startedMillis > known.startedMillis;
        }
        return known.state != BackendState.GONE
                && (state == BackendState.GONE || sequence > known.sequence);
    }

    /**
     * Returns this announcement after a deregistration, which also ends a later start that is not
     * known here.
     */
    BackendAnnouncement deregisteredBy(BackendAnnouncement deregistration) {
        return withState(BackendState.GONE)
                .withStart(Math.max(startedMillis, deregistration.startedMillis));
    }

    /** Returns the same announcement with another start. */
    BackendAnnouncement withStart(long newStartedMillis) {
        return new BackendAnnouncement(
                backend,
                service,
                host,
                port,
                failureDomain,
                state,
                requestSlots,
                newStartedMillis,
                sequence,
                holdsModels,
                held,
                softwareVersion,
                coldMillis);
    }

    /** Returns the same announcement without what the backend server holds. */
    BackendAnnouncement withoutHeld() {
        return new BackendAnnouncement(
                backend,
                service,
                host,
                port,
                failureDomain,
                state,
                requestSlots,
                startedMillis,
                sequence,
                false,
                List.of(),
                softwareVersion,
                coldMillis);
    }

    /** Returns the same announcement with another state. */
    public BackendAnnouncement withState(BackendState newState) {
        return new BackendAnnouncement(
                backend,
                service,
                host,
                port,
                failureDomain,
                newState,
                requestSlots,
                startedMillis,
                sequence,
                holdsModels,
                held,
                softwareVersion,
                coldMillis);
    }

    /** Returns the address as {@code host:port}. */
    public String address() {
        return host + ':' + port;
    }
}
