package org.crocushaven.serving;

import java.util.Comparator;
import java.util.Optional;
import java.util.stream.Collectors;
import org.crocushaven.caller.CallerRequest;
import org.crocushaven.configuration.Adapter;
import org.crocushaven.configuration.AdapterVersion;
import org.crocushaven.configuration.FleetConfiguration;
import org.crocushaven.configuration.Route;
import org.crocushaven.configuration.Service;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/** Resolves the service, adapter version or route that a request names. */
final class TargetResolver {
    private static final String WILDCARD = "/*";

    private TargetResolver() {}

    /**
     * Returns the target of a request.
     *
     * @throws ResultException when the configuration has no such target
     */
    static ResolvedTarget resolve(FleetConfiguration configuration, CallerRequest request) {
        return request.kind() == CallerRequest.Kind.ENGINE
                ? resolveEngine(configuration, request)
                : resolvePlain(configuration, request);
    }

    private static ResolvedTarget resolveEngine(
            FleetConfiguration configuration, CallerRequest request) {
        final String model = request.target();
        final Adapter namedAdapter = configuration.adapters().get(model);
        if (namedAdapter != null) {
            return resolveAdapter(
                    configuration, request, namedAdapter, namedAdapter.defaultVersion());
        }
        final int separator = model.lastIndexOf('@');
        if (separator > 0) {
            final String name = model.substring(0, separator);
            final Adapter adapter = configuration.adapters().get(name);
            if (adapter == null) {
                throw ResultException.of(ResultCode.UNKNOWN_ADAPTER, name);
            }
            return resolveAdapter(configuration, request, adapter, model.substring(separator + 1));
        }
        return resolveBaseModel(configuration, request);
    }

    private static ResolvedTarget resolveAdapter(
            FleetConfiguration configuration,
            CallerRequest request,
            Adapter adapter,
            String version) {
        if (!adapter.versions().contains(version)) {
            throw ResultException.of(ResultCode.UNKNOWN_VERSION, adapter.name(), version);
        }
        final Service service = configuration.services().get(adapter.service());
        if (service == null) {
            throw ResultException.of(ResultCode.UNKNOWN_SERVICE, adapter.service());
        }
        final AdapterVersion resolved = AdapterVersion.of(adapter.name(), version);
        final boolean resident = service.residentAdapters().contains(resolved);
        return engineTarget(
                request, service, Optional.of(adapter), Optional.of(resolved), resident);
    }

    private static ResolvedTarget resolveBaseModel(
            FleetConfiguration configuration, CallerRequest request) {
        final Service service =
                configuration.services().values().stream()
                        .filter(candidate -> candidate.kind() == Service.Kind.ENGINE)
                        .filter(candidate -> candidate.baseModel().equals(request.target()))
                        .min(Comparator.comparing(Service::name))
                        .orElseThrow(
                                () ->
                                        ResultException.of(
                                                ResultCode.UNKNOWN_MODEL, request.target()));
        return engineTarget(request, service, Optional.empty(), Optional.empty(), true);
    }

    private static ResolvedTarget engineTarget(
            CallerRequest request,
            Service service,
            Optional<Adapter> adapter,
            Optional<AdapterVersion> version,
            boolean resident) {
        return new ResolvedTarget(
                service,
                adapter,
                version,
                service.open() && resident,
                true,
                resident,
                request.promptTokens() + request.maximumOutputTokens(),
                Long.MAX_VALUE);
    }

    private static ResolvedTarget resolvePlain(
            FleetConfiguration configuration, CallerRequest request) {
        final Service service = configuration.services().get(request.target());
        if (service == null || service.kind() != Service.Kind.PLAIN) {
            throw ResultException.of(ResultCode.UNKNOWN_SERVICE, request.target());
        }
        final String path = pathWithoutQuery(request.path());
        final Route route =
                service.routes().stream()
                        .filter(candidate -> matches(candidate, path))
                        .filter(candidate -> candidate.method().equals(request.method()))
                        .max(Comparator.comparingInt(candidate -> candidate.path().length()))
                        .orElseThrow(() -> noRoute(service, request, path));
        return new ResolvedTarget(
                service,
                Optional.empty(),
                Optional.empty(),
                route.open(),
                route.idempotent(),
                true,
                route.tokens(),
                route.timeoutMillis());
    }

    private static ResultException noRoute(Service service, CallerRequest request, String path) {
        final String allowed =
                service.routes().stream()
                        .filter(candidate -> matches(candidate, path))
                        .map(Route::method)
                        .distinct()
                        .sorted()
                        .collect(Collectors.joining(", "));
        return allowed.isEmpty()
                ? ResultException.of(ResultCode.UNKNOWN_ROUTE, request.target() + path)
                : ResultException.of(ResultCode.METHOD_NOT_ALLOWED, request.method(), allowed);
    }

    private static boolean matches(Route route, String path) {
        if (!route.path().endsWith(WILDCARD)) {
            return route.path().equals(path);
        }
        final String prefix = route.path().substring(0, route.path().length() - 1);
        return path.startsWith(prefix) && path.length() > prefix.length();
    }

    private static String pathWithoutQuery(String path) {
        final int query = path.indexOf('?');
        return query < 0 ? path : path.substring(0, query);
    }
}
