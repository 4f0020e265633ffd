package org.crocushaven.fleet;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.crocushaven.coldstart.ColdGrant;
import org.crocushaven.coldstart.ColdStartBound;
import org.crocushaven.coldstart.ColdStartLedger;
import org.crocushaven.coldstart.ColdUse;

/**
 * Learns during one term which backend servers are cold: from their announcements, from gateways
 * that doubt them, and from failure domains that return from an evacuation. Not thread-safe.
 */
final class ColdStarts {
    private final BackendRegistry registry;
    private final Function<String, Optional<ColdStartBound>> bounds;
    private final ColdStartLedger ledger = new ColdStartLedger();

    /**
     * Creates the knowledge of a leader that has heard of none.
     *
     * @param bounds returns what cold backend servers of a service bear, if that is bounded
     */
    ColdStarts(BackendRegistry registry, Function<String, Optional<ColdStartBound>> bounds) {
        this.registry = registry;
        this.bounds = bounds;
    }

    /** Applies an announcement, which may have been received a while ago. */
    void announced(BackendAnnouncement announcement, long nowNanos) {
        final long ageMillis =
                TimeUnit.NANOSECONDS.toMillis(registry.ageNanos(announcement.backend(), nowNanos));
        bounds.apply(announcement.service())
                .ifPresent(
                        bound ->
                                ledger.record(
                                        announcement.backend(),
                                        announcement.startedMillis(),
                                        announcement.coldMillis() - ageMillis,
                                        bound,
                                        "announced",
                                        nowNanos));
    }

    /** Doubts all backend servers of a failure domain. */
    void doubtDomain(String failureDomain, long nowNanos) {
        registry.present().stream()
                .filter(backend -> backend.failureDomain().equals(failureDomain))
                .forEach(
                        backend ->
                                bounds.apply(backend.service())
                                        .ifPresent(
                                                bound ->
                                                        ledger.record(
                                                                backend.backend(),
                                                                backend.startedMillis(),
                                                                bound.durationMillis(),
                                                                bound,
                                                                "evacuation ended",
                                                                nowNanos)));
    }

    /** Applies what a gateway reports; returns what it is told. */
    List<ColdGrant> exchange(List<ColdUse> uses, long nowNanos) {
        for (final ColdUse use : uses) {
            registry.find(use.backend())
                    .flatMap(known -> bounds.apply(known.service()))
                    .ifPresent(
                            bound ->
                                    ledger.record(
                                            use.backend(),
                                            use.startedMillis(),
                                            Math.min(use.doubtMillis(), bound.durationMillis()),
                                            bound,
                                            "doubted",
                                            nowNanos));
        }
        return ledger.exchange(uses, nowNanos);
    }

    /** Forgets those that are no longer cold. */
    void tick(long nowNanos) {
        ledger.tick(nowNanos);
    }
}
