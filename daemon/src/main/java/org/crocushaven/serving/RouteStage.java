package org.crocushaven.serving;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.crocushaven.backend.BackendServer;
import org.crocushaven.caller.CallerRequest;
import org.crocushaven.configuration.AdapterVersion;
import org.crocushaven.routing.RouteQuery;
import org.crocushaven.routing.RoutingDecision;

/**
 * Chooses the backend server for each attempt of one request, and records and reports the choice.
 */
final class RouteStage {
    private final ServingEnvironment environment;
    private final RequestProgress progress;
    private final CallerRequest request;
    private final ResolvedTarget target;
    private final String organisation;
    private final Set<String> excluded = ConcurrentHashMap.newKeySet();

    RouteStage(
            ServingEnvironment environment,
            RequestProgress progress,
            CallerRequest request,
            ResolvedTarget target,
            String organisation) {
        this.environment = environment;
        this.progress = progress;
        this.request = request;
        this.target = target;
        this.organisation = organisation;
    }

    /** Starts an attempt on a backend server; empty if none can be used. */
    Optional<Route> startAttempt() {
        final RoutingDecision decision = environment.fleet().choose(query());
        final Optional<Route> route = decision.candidates().stream().findFirst().flatMap(this::of);
        route.ifPresent(
                chosen -> {
                    final String name = chosen.server().name();
                    final int number = progress.startAttempt(name);
                    environment.fleet().sent(name);
                    environment.listener().routed(event(chosen, decision, number));
                });
        return route;
    }

    /** Excludes the backend server of the last attempt from the following ones. */
    void excludeLast() {
        excluded.add(progress.backendServer());
    }

    /** Allows every backend server again. */
    void clearExcluded() {
        excluded.clear();
    }

    private RouteQuery query() {
        return new RouteQuery(
                request.requestId(),
                target.service().name(),
                target.version(),
                environment.failureDomain(),
                Optional.empty(),
                excluded,
                environment.clock().nanoTime());
    }

    private Optional<Route> of(RoutingDecision.Candidate candidate) {
        return environment
                .fleet()
                .server(candidate.backendServer())
                .map(server -> new Route(server, candidate.dispatcher()));
    }

    private ServingListener.RouteDecisionEvent event(
            Route route, RoutingDecision decision, int number) {
        return new ServingListener.RouteDecisionEvent(
                request.requestId(),
                organisation,
                target.service().name(),
                target.version().map(AdapterVersion::toString).orElse(""),
                route.server().name(),
                route.dispatcher(),
                decision.reason().name(),
                number);
    }

    /**
     * The way of one attempt.
     *
     * @param server the backend server
     * @param dispatcher the instance that dispatches for it
     */
    record Route(BackendServer server, String dispatcher) {}
}
