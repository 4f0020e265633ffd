package org.crocushaven.ingress;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Finds the route of a request: the longest prefix of its path among the routes of its host. */
public final class RouteTable {
    private final Map<String, List<IngressRoute>> routesByHost;

    private RouteTable(Map<String, List<IngressRoute>> routesByHost) {
        this.routesByHost = routesByHost;
    }

    /** Returns the table of the given routes. */
    public static RouteTable of(Collection<IngressRoute> routes) {
        final Map<String, List<IngressRoute>> byHost = new HashMap<>();
        for (final IngressRoute route : routes) {
            byHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
        }
        final Comparator<IngressRoute> longestFirst =
                Comparator.comparingInt(route -> -route.pathPrefix().length());
        byHost.values().forEach(list -> list.sort(longestFirst));
        return new RouteTable(byHost);
    }

    /** Returns the route of a request, or empty when none matches. */
    public Optional<IngressRoute> find(String host, String path) {
        for (final IngressRoute route : routesByHost.getOrDefault(host, List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }
}
