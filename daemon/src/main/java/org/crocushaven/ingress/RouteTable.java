package org.crocushaven.ingress;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Finds the route of a request by host and longest matching path prefix.
 *
 * <p>Because prefixes end with a slash, a lookup tries only the beginnings of the path that end
 * with a slash, independently of the number of routes.
 */
public final class RouteTable {
    private static final char SLASH = '/';

    private final Map<String, Map<String, IngressRoute>> routesByHost;

    private RouteTable(Map<String, Map<String, IngressRoute>> routesByHost) {
        this.routesByHost = routesByHost;
    }

    /** Returns a table of the given routes, no two of which share host and prefix. */
    public static RouteTable of(Collection<IngressRoute> routes) {
        final Map<String, Map<String, IngressRoute>> byHost = new HashMap<>();
        for (final IngressRoute route : routes) {
            byHost.computeIfAbsent(route.host(), host -> new HashMap<>())
                    .put(route.pathPrefix(), route);
        }
        return new RouteTable(byHost);
    }

    /** Returns the route of a request, or empty when none matches. */
    public Optional<IngressRoute> find(String host, String path) {
        final Map<String, IngressRoute> routes = routesByHost.get(host);
        int slash = routes == null ? -1 : path.lastIndexOf(SLASH);
        while (slash >= 0) {
            final IngressRoute route = routes.get(path.substring(0, slash + 1));
            if (route != null) {
                return Optional.of(route);
            }
            slash = path.lastIndexOf(SLASH, slash - 1);
        }
        return Optional.empty();
    }
}
