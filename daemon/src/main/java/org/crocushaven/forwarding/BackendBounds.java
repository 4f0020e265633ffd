package org.crocushaven.forwarding;

import java.util.Set;
import java.util.random.RandomGenerator;
import org.crocushaven.coldstart.ColdBackends;
import org.crocushaven.fleet.BackendRecord;
import org.crocushaven.fleet.GatewayUpdate;
import org.crocushaven.observability.EventLine;

/**
 * Holds what bounds a gateway's requests to backend servers beside their records: what they said of
 * themselves, cold starts, and evacuations of their failure domains. Not thread-safe.
 */
final class BackendBounds {
    private final BackendNotices notices = new BackendNotices();
    private final BackendLimits limits = new BackendLimits();
    private final ColdBackends cold = new ColdBackends();
    private final BrittleBackends brittle;
    private Set<String> evacuatedDomains = Set.of();

    /**
     * Creates bounds of no backend servers.
     *
     * @param random divides what is free at brittle ones
     */
    BackendBounds(RandomGenerator random) {
        this.brittle = new BrittleBackends(random);
    }

    /**
     * Applies an update of the leader.
     *
     * @param askedNanos time at which the report was sent that the update answers
     */
    void apply(GatewayUpdate update, long askedNanos, long nowNanos) {
        limits.apply(update.limits(), nowNanos);
        cold.apply(update.coldStarts(), askedNanos, nowNanos);
        brittle.viewChanged(update.gateways());
        final Set<String> evacuated = Set.copyOf(update.evacuatedDomains());
        if (!evacuated.equals(evacuatedDomains)) {
            EventLine.of("evacuations-received").with("failure_domains", evacuated).info();
            evacuatedDomains = evacuated;
        }
    }

    /** Returns what backend servers said of themselves in their answers. */
    BackendNotices notices() {
        return notices;
    }

    /** Returns the limits that backend servers named in their answers. */
    BackendLimits limits() {
        return limits;
    }

    /** Returns the backend servers that said in their answers that they are brittle. */
    BrittleBackends brittle() {
        return brittle;
    }

    /** Returns the backend servers that are cold. */
    ColdBackends cold() {
        return cold;
    }

    /**
     * Returns whether a request may be sent to a backend server now.
     *
     * @param requestsThere requests in flight there
     */
    boolean allow(BackendRecord record, int requestsThere, long nowNanos) {
        return !isEvacuated(record)
                && notices.allowRequests(record, nowNanos)
                && limits.allows(record, nowNanos)
                && cold.allows(record.backend(), record.startedMillis(), nowNanos)
                && brittle.allows(record, requestsThere, nowNanos);
    }

    /**
     * Takes a request out of all that is bounded, just before it is sent; returns whether it may be
     * sent.
     *
     * @param requestsThere requests in flight there, this one left out
     */
    boolean tryTake(BackendRecord record, int requestsThere, long nowNanos) {
        return !isEvacuated(record)
                && notices.allowRequests(record, nowNanos)
                && brittle.tryTake(record, requestsThere, nowNanos)
                && limits.tryTake(record, nowNanos)
                && cold.tryTake(record.backend(), record.startedMillis(), nowNanos);
    }

    /** Returns whether a backend server takes no requests however long one waits. */
    boolean isLeft(BackendRecord record) {
        return notices.isLeaving(record) || isEvacuated(record);
    }

    /** Returns whether a backend server is cold and no granted request is left. */
    boolean isWithheldAsCold(BackendRecord record, long nowNanos) {
        return !isEvacuated(record)
                && !cold.allows(record.backend(), record.startedMillis(), nowNanos);
    }

    /** Returns the time until a backend server takes requests again, as far as it is known. */
    long waitNanos(BackendRecord record, long nowNanos) {
        return Math.max(
                cold.waitNanos(record.backend(), record.startedMillis(), nowNanos),
                Math.max(notices.pauseNanos(record, nowNanos), limits.waitNanos(record, nowNanos)));
    }

    private boolean isEvacuated(BackendRecord record) {
        return evacuatedDomains.contains(record.failureDomain());
    }
}
