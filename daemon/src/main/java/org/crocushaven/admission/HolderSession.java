package org.crocushaven.admission;

import java.util.List;
import java.util.OptionalLong;

/** Exchange of reports and grants with one generation of a holder. Not thread-safe. */
final class HolderSession {
    private final long epoch;
    private final long generation;
    private final long leaseNanos;
    private long expiresNanos;
    private long reportSequence;
    private long sequence;
    private boolean pending;
    private OptionalLong oldLimitsExpireNanos = OptionalLong.empty();
    private List<ShareChange> changes = List.of();

    HolderSession(long epoch, long generation, long leaseNanos) {
        this.epoch = epoch;
        this.generation = generation;
        this.leaseNanos = leaseNanos;
    }

    long generation() {
        return generation;
    }

    /** Renews the lease and returns true if the report is newer than all earlier ones. */
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

    void markAcknowledged() {
        pending = false;
        oldLimitsExpireNanos = OptionalLong.empty();
    }

    /**
     * Records that limits were lowered while a grant made under the old limits is unacknowledged.
     * Repetitions of that grant do not extend the lease beyond one lease length from now.
     */
    void recordLoweredLimits(long nowNanos) {
        if (pending && oldLimitsExpireNanos.isEmpty()) {
            oldLimitsExpireNanos = OptionalLong.of(nowNanos + leaseNanos);
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

    /**
     * Returns the last grant as an answer to a report.
     *
     * @param answeredReport sequence of the report, 0 if the answer must not renew the lease
     */
    ShareGrant answer(long answeredReport, long nowNanos) {
        return new ShareGrant(
                generation, epoch, sequence, answeredReport, lease(nowNanos), nowNanos, changes);
    }

    private long lease(long nowNanos) {
        return oldLimitsExpireNanos.isEmpty()
                ? leaseNanos
                : Math.max(0, Math.min(leaseNanos, oldLimitsExpireNanos.getAsLong() - nowNanos));
    }
}
