package org.crocushaven.placement;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.crocushaven.configuration.AdapterVersion;
import org.crocushaven.protocol.Message;

/**
 * The change between two summaries of one backend server under one dispatcher lease.
 *
 * @param name the backend server
 * @param incarnation its incarnation
 * @param fencingNumber number of the dispatcher lease
 * @param baseSequence sequence of the summary to which the change applies
 * @param sequence sequence of the resulting summary
 * @param added versions that can serve since the base
 * @param removed versions that can serve no longer
 * @param loading versions that are being loaded
 * @param freeSlots free request slots
 * @param queueLength requests queued at the dispatcher
 * @param running requests that hold permits
 * @param draining whether the backend server takes no new work
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record BackendSummaryDelta(
        String name,
        long incarnation,
        long fencingNumber,
        long baseSequence,
        long sequence,
        List<AdapterVersion> added,
        List<AdapterVersion> removed,
        List<AdapterVersion> loading,
        int freeSlots,
        int queueLength,
        int running,
        boolean draining)
        implements Message {
    public BackendSummaryDelta {
        added = List.copyOf(added);
        removed = List.copyOf(removed);
        loading = List.copyOf(loading);
    }

    /** Returns the resulting summary; empty if the change does not apply to the given one. */
    public Optional<BackendSummary> applyTo(BackendSummary base) {
        if (!base.name().equals(name)
                || base.incarnation() != incarnation
                || base.fencingNumber() != fencingNumber
                || base.sequence() != baseSequence) {
            return Optional.empty();
        }
        final List<AdapterVersion> loaded = new ArrayList<>(base.loaded());
        loaded.removeAll(removed);
        loaded.addAll(added);
        return Optional.of(
                new BackendSummary(
                        name,
                        base.service(),
                        base.failureDomain(),
                        incarnation,
                        fencingNumber,
                        sequence,
                        loaded,
                        loading,
                        freeSlots,
                        queueLength,
                        running,
                        draining));
    }
}
