package org.crocushaven.residency;

import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;

/**
 * The regions in which a request may run: those that its route and its organisation both allow.
 * Immutable.
 */
public final class AllowedRegions {
    /** Allows every region. */
    public static final AllowedRegions ALL = new AllowedRegions(false, Set.of());

    private final boolean bound;
    private final Set<String> regions;

    private AllowedRegions(boolean bound, Set<String> regions) {
        this.bound = bound;
        this.regions = Set.copyOf(regions);
    }

    /**
     * Returns the regions that both allow.
     *
     * @param ofRoute regions that the route allows; empty if it allows all
     * @param ofOrganisation regions that the organisation allows; empty if it allows all
     */
    public static AllowedRegions of(Collection<String> ofRoute, Collection<String> ofOrganisation) {
        if (ofRoute.isEmpty() && ofOrganisation.isEmpty()) {
            return ALL;
        }
        final Set<String> common = new TreeSet<>(ofRoute.isEmpty() ? ofOrganisation : ofRoute);
        if (!ofOrganisation.isEmpty()) {
            common.retainAll(Set.copyOf(ofOrganisation));
        }
        return new AllowedRegions(true, common);
    }

    /** Returns whether not every region is allowed. */
    public boolean isBound() {
        return bound;
    }

    /** Returns whether no region is allowed, so that the request can run nowhere. */
    public boolean isContradiction() {
        return bound && regions.isEmpty();
    }

    /** Returns whether a request may run in a region; never in an unknown one if bound. */
    public boolean allows(String region) {
        return !bound || regions.contains(region);
    }

    /**
     * Returns whether the body of a request may be sent to an instance.
     *
     * @param region region of that instance; empty if not known
     * @param regionOfClient region of the instance to which the client connected
     */
    public boolean allowsBody(String region, String regionOfClient) {
        return allows(region) || !region.isEmpty() && region.equals(regionOfClient);
    }
}
