package org.crocushaven.routing;

import java.util.Comparator;
import java.util.List;
import org.crocushaven.routing.RoutingDecision.Candidate;

/** Chooses the least loaded backend server of the service, regardless of its loaded versions. */
public final class LeastLoadedRouting implements RoutingPolicy {
    private final RoutingTable table;

    private LeastLoadedRouting(RoutingTable table) {
        this.table = table;
    }

    /** Returns a policy over the given table. */
    public static LeastLoadedRouting create(RoutingTable table) {
        return new LeastLoadedRouting(table);
    }

    @Override
    public RoutingDecision choose(RouteQuery query) {
        final List<Candidate> candidates =
                table.ofService(query.service()).stream()
                        .filter(BackendView::isUsable)
                        .filter(view -> !query.excluded().contains(view.name()))
                        .sorted(
                                Comparator.comparingDouble(BackendView::load)
                                        .thenComparing(BackendView::name))
                        .limit(2)
                        .map(view -> new Candidate(view.name(), view.dispatcher()))
                        .toList();
        return candidates.isEmpty()
                ? RoutingDecision.none()
                : new RoutingDecision(candidates, RoutingReason.LEAST_LOADED);
    }
}
