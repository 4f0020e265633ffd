package org.crocushaven.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.crocushaven.configuration.AdapterVersion;
import org.crocushaven.routing.RoutingDecision.Candidate;

/**
 * Chooses backend servers that have the adapter version loaded, else the version's home server.
 *
 * <p>Among several servers with the version, the less loaded of two random ones is chosen. If the
 * version is loaded nowhere, its home is chosen: the first server on the hash ring, counted from
 * the point of the version, that is not overloaded. All instances therefore choose the same one. If
 * the chosen server with the version is overloaded, a replica is started at the next server on the
 * ring, provided that one is sufficiently less loaded. Of two servers with equal load and without
 * excess requests, the one in the failure domain of the request is preferred. Not thread-safe.
 */
public final class AffinityRouting implements RoutingPolicy {
    private static final int MAXIMUM_CANDIDATES = 3;
    private static final int MAXIMUM_SAMPLES = 4;
    private static final int MAXIMUM_RING_STEPS = 256;
    private static final int MAXIMUM_PREFIX_EXCESS = 2;

    private final RoutingTable table;
    private final SplittableRandom random;
    private final AffinitySettings settings;

    private AffinityRouting(
            RoutingTable table, AffinitySettings settings, SplittableRandom random) {
        this.table = table;
        this.settings = settings;
        this.random = random;
    }

    /** Returns a policy over the given table. */
    public static AffinityRouting create(
            RoutingTable table, AffinitySettings settings, SplittableRandom random) {
        return new AffinityRouting(table, settings, random);
    }

    @Override
    public RoutingDecision choose(RouteQuery query) {
        return query.version().isPresent()
                ? chooseForVersion(query, query.version().get())
                : chooseAny(query);
    }

    private RoutingDecision chooseForVersion(RouteQuery query, AdapterVersion version) {
        final List<BackendView> viewsWithVersion = table.withVersion(version);
        final BackendView prefixCached = choosePrefixCached(query, viewsWithVersion);
        final BackendView best =
                prefixCached != null ? prefixCached : chooseLessLoaded(query, viewsWithVersion);
        if (best == null) {
            return chooseHome(query, version);
        }
        final boolean overloaded = best.excess() > settings.replicaExcess();
        final BackendView replica =
                overloaded ? ringMember(query, version, best, viewsWithVersion) : null;
        if (replica != null && replica.excess() < best.excess() - settings.replicaExcess()) {
            return decision(query, version, replica, best, RoutingReason.REPLICA);
        }
        final RoutingReason reason;
        if (best == prefixCached) {
            reason = RoutingReason.PREFIX_CACHED;
        } else {
            reason =
                    best.isLoading(version)
                            ? RoutingReason.VERSION_LOADING
                            : RoutingReason.VERSION_LOADED;
        }
        return decision(query, version, best, null, reason);
    }

    private RoutingDecision chooseHome(RouteQuery query, AdapterVersion version) {
        final BackendView home = ringMember(query, version, null, List.of());
        return home == null
                ? RoutingDecision.none()
                : decision(query, version, home, null, RoutingReason.HOME);
    }

    /**
     * Returns the first usable server on the ring that is not overloaded, else the first usable
     * one; leaves out the given views.
     */
    private BackendView ringMember(
            RouteQuery query,
            AdapterVersion version,
            BackendView overloadedView,
            List<BackendView> viewsWithVersion) {
        final HashRing ring = table.ring(query.service());
        final BackendView notOverloaded =
                ring.first(
                        version,
                        MAXIMUM_RING_STEPS,
                        view ->
                                isUsable(query, view)
                                        && view != overloadedView
                                        && !viewsWithVersion.contains(view)
                                        && view.excess() <= settings.homeExcess());
        if (notOverloaded != null) {
            return notOverloaded;
        }
        return ring.first(
                version,
                MAXIMUM_RING_STEPS,
                view ->
                        isUsable(query, view)
                                && view != overloadedView
                                && !viewsWithVersion.contains(view));
    }

    private RoutingDecision decision(
            RouteQuery query,
            AdapterVersion version,
            BackendView first,
            BackendView second,
            RoutingReason reason) {
        final List<Candidate> candidates = new ArrayList<>(MAXIMUM_CANDIDATES);
        candidates.add(candidate(first));
        if (second != null) {
            candidates.add(candidate(second));
        }
        final BackendView fallback =
                table.ring(query.service())
                        .first(
                                version,
                                MAXIMUM_RING_STEPS,
                                view -> isUsable(query, view) && view != first && view != second);
        if (fallback != null) {
            candidates.add(candidate(fallback));
        }
        return new RoutingDecision(candidates, reason);
    }

    private RoutingDecision chooseAny(RouteQuery query) {
        final List<BackendView> views = table.ofService(query.service());
        final BackendView best = chooseLessLoaded(query, views);
        if (best == null) {
            return RoutingDecision.none();
        }
        final List<Candidate> candidates = new ArrayList<>(2);
        candidates.add(candidate(best));
        final int start = random.nextInt(views.size());
        for (int step = 0; step < Math.min(MAXIMUM_SAMPLES, views.size()); step++) {
            final BackendView other = views.get((start + step) % views.size());
            if (other != best && isUsable(query, other)) {
                candidates.add(candidate(other));
                break;
            }
        }
        return new RoutingDecision(candidates, RoutingReason.LEAST_LOADED);
    }

    private BackendView choosePrefixCached(RouteQuery query, List<BackendView> viewsWithVersion) {
        if (query.prefixHolder().isEmpty()) {
            return null;
        }
        final BackendView view = table.view(query.prefixHolder().get()).orElse(null);
        final boolean suitable =
                view != null
                        && isUsable(query, view)
                        && viewsWithVersion.contains(view)
                        && view.excess() <= MAXIMUM_PREFIX_EXCESS;
        return suitable ? view : null;
    }

    /**
     * Returns the preferred one of two random usable views. Probes views at random and then in
     * order until two usable ones are found; null if there is none.
     */
    private BackendView chooseLessLoaded(RouteQuery query, List<BackendView> views) {
        final int size = views.size();
        if (size == 0) {
            return null;
        }
        BackendView best = null;
        int usable = 0;
        final int start = random.nextInt(size);
        final int stride = size <= MAXIMUM_SAMPLES ? 1 : 1 + random.nextInt(size - 1);
        int position = start;
        for (int step = 0; step < size && usable < 2; step++) {
            final BackendView view = views.get(position);
            if (isUsable(query, view)) {
                usable++;
                best = best == null || isPreferred(query, view, best) ? view : best;
            }
            position = step < MAXIMUM_SAMPLES ? (position + stride) % size : (position + 1) % size;
        }
        return best;
    }

    private boolean isPreferred(RouteQuery query, BackendView one, BackendView other) {
        if (one.excess() > 0 || other.excess() > 0 || one.load() != other.load()) {
            return one.load() < other.load();
        }
        return one.failureDomain().equals(query.failureDomain());
    }

    private static boolean isUsable(RouteQuery query, BackendView view) {
        return view.isUsable()
                && view.service().equals(query.service())
                && !query.excluded().contains(view.name());
    }

    private static Candidate candidate(BackendView view) {
        return new Candidate(view.name(), view.dispatcher());
    }
}
