package org.crocushaven.admission;

import java.util.List;
import java.util.OptionalLong;

/** The exchange of reports and grants with one generation of a holder. Not thread-safe. */
final class HolderSession {
    private final long epoch;
    private final long generation;
    private final long leaseNanos;
    private long expiresNanos;
    private long reportSequence;
    private long sequence;
    private boolean pending;
    private OptionalLong oldLimitsUntilNanos = OptionalLong.empty();
    private List<ShareChange> changes = List.of();

    HolderSession(long epoch, long generation, long leaseNanos) {
        this.epoch = epoch;
        this.generation = generation;
        this.leaseNanos = leaseNanos;
    }

    long generation() {
        return generation;
    }

    /** Renews the lease unless the report is older than one already seen. */
    boolean accept(ShareReport report, long nowNanos) {
        if (report.reportSequence() <= reportSequence) {
            return false;
        }
        reportSequence = report.reportSequence();
        expiresNanos = nowNanos + leaseNanos;
        return true;
    }

    boolean isExpired(long nowNanos) {
        return nowNanos - expiresNanos > 0;
    }

    boolean acknowledges(ShareReport report) {
        return pending && report.appliedSequence() == sequence;
    }

    void acknowledged() {
        pending = false;
        oldLimitsUntilNanos = OptionalLong.empty();
    }

    /** Notes that a grant on its way may be over limits lowered now: it renews no longer lease. */
    void limitsLowered(long nowNanos) {
        if (pending && oldLimitsUntilNanos.isEmpty()) {
            oldLimitsUntilNanos = OptionalLong.of(nowNanos + leaseNanos);
        }
    }

    boolean isPending() {
        return pending;
    }

    boolean hasGrant() {
        return sequence > 0;
    }

    void grant(List<ShareChange> newChanges) {
        sequence++;
        pending = true;
        changes = List.copyOf(newChanges);
    }

    /** Returns the last grant as an answer to the given report; 0 renews nothing. */
    ShareGrant repeat(long answeredReport, long nowNanos) {
        return new ShareGrant(
                generation, epoch, sequence, answeredReport, lease(nowNanos), nowNanos, changes);
    }

    private long lease(long nowNanos) {
        return oldLimitsUntilNanos.isEmpty()
                ? leaseNanos
                : Math.max(0, Math.min(leaseNanos, oldLimitsUntilNanos.getAsLong() - nowNanos));
    }
}
