package org.crocushaven.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.crocushaven.evacuation.Evacuation;
import org.crocushaven.observability.EventLine;

/**
 * Carries committed evacuations out during one term: keeps the placement out of evacuated failure
 * domains, and doubts the backend servers of one that returns. Not thread-safe.
 *
 * <p>A new leader does not know for how long a domain has been back, so it doubts each that ever
 * was evacuated.
 */
final class EvacuationProgress {
    private final BackendRegistry registry;
    private final EnginePlacement placement;
    private final ColdStarts coldStarts;
    private final Map<String, Long> appliedRevisions = new HashMap<>();

    EvacuationProgress(BackendRegistry registry, EnginePlacement placement, ColdStarts coldStarts) {
        this.registry = registry;
        this.placement = placement;
        this.coldStarts = coldStarts;
    }

    /** Applies the last evacuation of each failure domain. */
    void apply(List<Evacuation> evacuations, long nowNanos) {
        final Set<String> underWay = new HashSet<>();
        for (final Evacuation evacuation : evacuations) {
            if (evacuation.underWay()) {
                underWay.add(evacuation.failureDomain());
            }
            final Long applied =
                    appliedRevisions.put(evacuation.failureDomain(), evacuation.revision());
            if (applied == null || applied != evacuation.revision()) {
                changed(evacuation, nowNanos);
            }
        }
        placement.evacuate(underWay);
    }

    private void changed(Evacuation evacuation, long nowNanos) {
        final String failureDomain = evacuation.failureDomain();
        if (!evacuation.underWay()) {
            coldStarts.doubtDomain(failureDomain, nowNanos);
        }
        EventLine.of("evacuation-in-force")
                .with("failure_domain", failureDomain)
                .with("under_way", evacuation.underWay())
                .with("revision", evacuation.revision())
                .with(
                        "backends",
                        registry.present().stream()
                                .filter(known -> known.failureDomain().equals(failureDomain))
                                .count())
                .info();
    }
}
