package org.crocushaven.operator;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/** Selects the route of a request by its method and path. */
final class OperatorRoutes {
    private static final String LIVE = "/live";
    private static final String READY = "/ready";
    private static final String METRICS = "/metrics";
    private static final Set<String> PATHS_WITHOUT_KEY = Set.of(LIVE, READY, METRICS);
    private static final String ROOT = "/operator/v1/";
    private static final String NAME = "([A-Za-z0-9._-]{1,64})";
    private static final String GET = "GET";
    private static final String POST = "POST";

    private final Map<Pattern, Map<String, OperatorRoute>> routes = new LinkedHashMap<>();

    private OperatorRoutes() {}

    static OperatorRoutes of(OperatorEnvironment environment) {
        final OperatorRoutes routes = new OperatorRoutes();
        routes.addPlatformRoutes(environment);
        routes.addViews(environment);
        routes.addOperations(environment);
        return routes;
    }

    /**
     * Returns whether a request with the given target needs the operator key. Only {@code /live},
     * {@code /ready} and {@code /metrics} need none, and only if spelled exactly like this.
     */
    static boolean needsKey(String target) {
        return !PATHS_WITHOUT_KEY.contains(new QueryStringDecoder(target).rawPath());
    }

    /**
     * Answers a request.
     *
     * @throws ResultException if no route has the path, or the route does not allow the method
     */
    CompletableFuture<OperatorResponse> answer(OperatorCall call) {
        for (final Map.Entry<Pattern, Map<String, OperatorRoute>> entry : routes.entrySet()) {
            final Matcher matcher = entry.getKey().matcher(call.path());
            if (matcher.matches()) {
                final String name = matcher.groupCount() > 0 ? matcher.group(1) : "";
                return routeOf(call, entry.getValue()).answer(call, name);
            }
        }
        throw ResultException.of(ResultCode.UNKNOWN_ROUTE, call.path());
    }

    private static OperatorRoute routeOf(OperatorCall call, Map<String, OperatorRoute> byMethod) {
        return Optional.ofNullable(byMethod.get(call.method()))
                .orElseThrow(
                        () -> {
                            final Set<String> allowed = new TreeSet<>(byMethod.keySet());
                            return ResultException.of(
                                    ResultCode.METHOD_NOT_ALLOWED,
                                    call.method(),
                                    String.join(", ", allowed));
                        });
    }

    private void addPlatformRoutes(OperatorEnvironment environment) {
        add(GET, LIVE, new LiveRoute());
        add(GET, READY, new ReadyRoute(environment.probe()));
        add(GET, METRICS, new MetricsRoute(environment.metrics()));
    }

    private void addViews(OperatorEnvironment environment) {
        final ControlPlane plane = environment.controlPlane();
        add(GET, ROOT + "status", new ViewRoute(plane::status));
        add(GET, ROOT + "services", new ViewRoute(() -> ConfigurationViews.services(plane)));
        add(
                GET,
                ROOT + "organisations",
                new ViewRoute(() -> ConfigurationViews.organisations(plane)));
        add(GET, ROOT + "keys", new ViewRoute(() -> ConfigurationViews.keys(plane)));
        add(GET, ROOT + "backends", new ViewRoute(plane::backends));
        add(GET, ROOT + "voters", new ViewRoute(plane::voters));
        add(GET, ROOT + "adapters", new AdaptersRoute(plane));
        add(GET, ROOT + "explain/" + NAME, new ExplainRoute(environment.explanations()));
    }

    private void addOperations(OperatorEnvironment environment) {
        final ControlPlane plane = environment.controlPlane();
        add(POST, ROOT + "changes", new ChangesRoute(plane));
        add(
                POST,
                ROOT + "voters/" + NAME + "/add",
                new OperationRoute(plane::addVoter, "the instance votes"));
        add(
                POST,
                ROOT + "voters/" + NAME + "/remove",
                new OperationRoute(plane::removeVoter, "the instance no longer votes"));
        add(
                POST,
                ROOT + "instances/" + NAME + "/drain",
                new OperationRoute(plane::drainInstance, "the instance is stopping"));
    }

    private void add(String method, String path, OperatorRoute route) {
        routes.put(Pattern.compile(path), Map.of(method, route));
    }
}
