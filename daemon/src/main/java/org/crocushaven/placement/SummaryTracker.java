package org.crocushaven.placement;

import java.util.List;
import org.crocushaven.backend.BackendServer;
import org.crocushaven.configuration.AdapterVersion;

/**
 * Assigns sequence numbers to the summaries of one backend server under one lease. Not thread-safe.
 */
final class SummaryTracker {
    private final long fencingNumber;
    private BackendSummary last;

    SummaryTracker(long fencingNumber) {
        this.fencingNumber = fencingNumber;
    }

    /** Returns a summary of the given state, with a new sequence if it differs from the last. */
    BackendSummary update(
            BackendServer server,
            List<AdapterVersion> loaded,
            List<AdapterVersion> loading,
            int freeSlots,
            int queueLength,
            int running,
            boolean draining) {
        final long sequence = last == null ? 1 : last.sequence();
        final BackendSummary candidate =
                new BackendSummary(
                        server.name(),
                        server.service(),
                        server.failureDomain(),
                        server.incarnation(),
                        fencingNumber,
                        sequence,
                        loaded,
                        loading,
                        freeSlots,
                        queueLength,
                        running,
                        draining);
        if (!candidate.equals(last)) {
            last = last == null ? candidate : withSequence(candidate, sequence + 1);
        }
        return last;
    }

    private static BackendSummary withSequence(BackendSummary summary, long sequence) {
        return new BackendSummary(
                summary.name(),
                summary.service(),
                summary.failureDomain(),
                summary.incarnation(),
                summary.fencingNumber(),
                sequence,
                summary.loaded(),
                summary.loading(),
                summary.freeSlots(),
                summary.queueLength(),
                summary.running(),
                summary.draining());
    }
}
