package org.crocushaven.routing;

import java.util.ArrayList;
import java.util.List;
import org.crocushaven.routing.RoutingDecision.Candidate;

/** Chooses the backend servers of a service in turn. Not thread-safe. */
public final class RoundRobinRouting implements RoutingPolicy {
    private final RoutingTable table;
    private int startIndex;

    private RoundRobinRouting(RoutingTable table) {
        this.table = table;
    }

    /** Returns a policy over the given table. */
    public static RoundRobinRouting create(RoutingTable table) {
        return new RoundRobinRouting(table);
    }

    @Override
    public RoutingDecision choose(RouteQuery query) {
        final List<BackendView> views = table.ofService(query.service());
        final List<Candidate> candidates = new ArrayList<>();
        startIndex = views.isEmpty() ? 0 : (startIndex + 1) % views.size();
        for (int step = 0; step < views.size() && candidates.size() < 2; step++) {
            final BackendView view = views.get((startIndex + step) % views.size());
            if (view.isUsable() && !query.excluded().contains(view.name())) {
                candidates.add(new Candidate(view.name(), view.dispatcher()));
            }
        }
        return candidates.isEmpty()
                ? RoutingDecision.none()
                : new RoutingDecision(candidates, RoutingReason.NEXT_IN_TURN);
    }
}
