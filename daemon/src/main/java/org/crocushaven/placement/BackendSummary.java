package org.crocushaven.placement;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import org.crocushaven.configuration.AdapterVersion;
import org.crocushaven.protocol.Message;

/**
 * State of a backend server as published by its dispatcher; a hint for routing.
 *
 * @param name the backend server
 * @param service its service
 * @param failureDomain its failure domain
 * @param incarnation its incarnation
 * @param fencingNumber number of the dispatcher lease
 * @param sequence increases with each change under the lease
 * @param loaded versions that can serve
 * @param loading versions that are being loaded
 * @param freeSlots free request slots
 * @param queueLength requests queued at the dispatcher
 * @param running requests that hold permits
 * @param draining whether the backend server takes no new work
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record BackendSummary(
        String name,
        String service,
        String failureDomain,
        long incarnation,
        long fencingNumber,
        long sequence,
        List<AdapterVersion> loaded,
        List<AdapterVersion> loading,
        int freeSlots,
        int queueLength,
        int running,
        boolean draining)
        implements Message {
    public BackendSummary {
        loaded = List.copyOf(loaded);
        loading = List.copyOf(loading);
    }

    /** Returns whether this summary replaces the given one. */
    public boolean isNewerThan(BackendSummary other) {
        return fencingNumber != other.fencingNumber
                ? fencingNumber > other.fencingNumber
                : sequence > other.sequence;
    }

    /** Returns the change from an earlier summary of the same lease and incarnation to this one. */
    public BackendSummaryDelta since(BackendSummary earlier) {
        return new BackendSummaryDelta(
                name,
                incarnation,
                fencingNumber,
                earlier.sequence,
                sequence,
                loaded.stream().filter(version -> !earlier.loaded.contains(version)).toList(),
                earlier.loaded.stream().filter(version -> !loaded.contains(version)).toList(),
                loading,
                freeSlots,
                queueLength,
                running,
                draining);
    }
}
