package org.crocushaven.ingress;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Contains a complete configuration, identified by the operator's version number. */
public final class IngressConfiguration {
    private final long version;
    private final List<IngressRoute> routes;
    private final Map<String, IngressService> services = new HashMap<>();
    private final Optional<List<KeyedOrganisation>> organisations;
    private final Map<String, KeyedOrganisation> organisationByKey = new HashMap<>();
    private final IngressLimits limits;
    private final RouteTable table;

    private IngressConfiguration(
            long version,
            List<IngressRoute> routes,
            List<IngressService> services,
            Optional<List<KeyedOrganisation>> organisations,
            IngressLimits limits) {
        this.version = version;
        this.routes = List.copyOf(routes);
        this.organisations = organisations.map(List::copyOf);
        this.limits = limits;
        this.table = RouteTable.of(routes);
        services.forEach(service -> this.services.put(service.name(), service));
        organisations()
                .forEach(
                        organisation ->
                                organisation
                                        .keys()
                                        .forEach(key -> organisationByKey.put(key, organisation)));
    }

    /**
     * Returns a configuration with the given parts, which must be valid: no key may belong to two
     * organisations.
     *
     * @param organisations the organisations that hold keys; empty where requests need none. A list
     *     without an element lets nobody in but on open routes.
     */
    public static IngressConfiguration of(
            long version,
            List<IngressRoute> routes,
            List<IngressService> services,
            Optional<List<KeyedOrganisation>> organisations,
            IngressLimits limits) {
        return new IngressConfiguration(version, routes, services, organisations, limits);
    }

    /** Returns the operator's version number. */
    public long version() {
        return version;
    }

    /** Returns all routes. */
    public List<IngressRoute> routes() {
        return routes;
    }

    /** Returns the service of the given name. */
    public Optional<IngressService> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Returns all services. */
    public List<IngressService> services() {
        return List.copyOf(services.values());
    }

    /** Returns all organisations. */
    public List<KeyedOrganisation> organisations() {
        return organisations.orElse(List.of());
    }

    /** Returns whether requests need a key on routes that are not open. */
    public boolean needsKeys() {
        return organisations.isPresent();
    }

    /** Returns the organisation that holds a key. */
    public Optional<KeyedOrganisation> organisationOf(String key) {
        return Optional.ofNullable(organisationByKey.get(key));
    }

    /** Returns the limits on what clients may send. */
    public IngressLimits limits() {
        return limits;
    }

    /** Returns the longest time that a stream may last, in milliseconds; 0 without such routes. */
    public long longestStreamMillis() {
        return routes.stream()
                .filter(route -> route.kind() == RouteKind.STREAM)
                .mapToLong(IngressRoute::timeoutMillis)
                .max()
                .orElse(0);
    }

    /** Returns the route of a request, or empty when none matches. */
    public Optional<IngressRoute> route(String host, String path) {
        return table.find(host, path);
    }
}
