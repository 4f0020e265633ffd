package org.crocushaven.forwarding;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import org.crocushaven.admission.Charge;
import org.crocushaven.ingress.IngressConfiguration;
import org.crocushaven.ingress.IngressRequest;
import org.crocushaven.ingress.IngressRoute;
import org.crocushaven.ingress.KeyedOrganisation;
import org.crocushaven.residency.AllowedRegions;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Finds the route and the organisation of a request, charges it, and holds the route, the
 * organisation, the charge, and the version and age of the control state that were used. Used on
 * the event loop only.
 */
final class RequestAdmission {
    /** Number of times that the leader is asked for tokens before a request is refused. */
    private static final int MAXIMUM_TOKEN_REQUESTS = 2;

    private final ForwardingEnvironment environment;
    private final IngressRequest request;
    private IngressRoute route;
    private String service = "-";
    private Optional<KeyedOrganisation> organisation = Optional.empty();
    private AllowedRegions allowedRegions = AllowedRegions.ALL;
    private Optional<Charge> charge = Optional.empty();
    private long configurationVersion;
    private long controlAgeMillis;
    private boolean abandoned;

    RequestAdmission(ForwardingEnvironment environment, IngressRequest request) {
        this.environment = environment;
        this.request = request;
    }

    /**
     * Finds the route and checks the key.
     *
     * @throws ResultException when the request may not run on this gateway at this time
     */
    void identify(long nowNanos) {
        controlAgeMillis = environment.freshness().ageMillis(nowNanos);
        final IngressConfiguration configuration =
                environment.configuration().current().orElseThrow(() -> notReady(nowNanos));
        configurationVersion = configuration.version();
        final Optional<IngressRoute> found = configuration.route(request.host(), request.path());
        if (found.isEmpty()) {
            environment.admission().requireFresh(nowNanos);
            throw ResultException.of(ResultCode.UNKNOWN_ROUTE, request.path());
        }
        route = found.get();
        organisation = environment.admission().identify(configuration, route, request, nowNanos);
        allowedRegions =
                AllowedRegions.of(
                        route.allowedRegions(),
                        organisation.map(KeyedOrganisation::allowedRegions).orElse(List.of()));
        if (allowedRegions.isContradiction()) {
            throw ResultException.of(
                    ResultCode.NO_ALLOWED_REGION, route.name(), organisationName());
        }
        service = route.serviceAt(environment.random().nextDouble());
    }

    /**
     * Charges the organisation and asks the leader for missing tokens.
     *
     * @return a future that completes once the request may run, and never after {@link #abandon};
     *     fails with the refusal
     */
    CompletableFuture<Void> charge() {
        final CompletableFuture<Void> charged = new CompletableFuture<>();
        if (organisation.filter(KeyedOrganisation::hasRateLimit).isEmpty()) {
            charged.complete(null);
        } else {
            tryCharge(charged, MAXIMUM_TOKEN_REQUESTS);
        }
        return charged;
    }

    /** Chooses a service if the route leads to it; the one that was found stays otherwise. */
    void preferService(String preferred) {
        if (route.targets().stream().anyMatch(target -> target.service().equals(preferred))) {
            service = preferred;
        }
    }

    /** Refunds the charge of a request that did not run. */
    void refund() {
        charge.ifPresent(
                granted -> environment.admission().refund(granted, environment.nowNanos()));
        charge = Optional.empty();
    }

    /** Records that the request has ended, so that nothing more is charged. */
    void abandon() {
        abandoned = true;
    }

    /** Returns the route; null before it was found. */
    IngressRoute route() {
        return route;
    }

    /** Returns the name of the route; "-" before it was found. */
    String routeName() {
        return route == null ? "-" : route.name();
    }

    String service() {
        return service;
    }

    /** Returns the priority of the request: the organisation's if it has one, else the route's. */
    int priority() {
        return organisation
                .map(KeyedOrganisation::priority)
                .filter(OptionalInt::isPresent)
                .map(OptionalInt::getAsInt)
                .orElse(route.priority());
    }

    /** Returns the regions in which the request may run. */
    AllowedRegions allowedRegions() {
        return allowedRegions;
    }

    Optional<KeyedOrganisation> organisation() {
        return organisation;
    }

    /** Returns the name of the organisation; "-" when the request has none. */
    String organisationName() {
        return organisation.map(KeyedOrganisation::name).orElse("-");
    }

    /** Returns the number of charged tokens or requests; 0 when there was no charge. */
    long chargedAmount() {
        return charge.map(Charge::tokens).orElse(0L);
    }

    long configurationVersion() {
        return configurationVersion;
    }

    long controlAgeMillis() {
        return controlAgeMillis;
    }

    private ResultException notReady(long nowNanos) {
        return ResultException.of(ResultCode.NOT_READY, "no configuration is known yet")
                .withRetryAfter(environment.freshness().retryDelay(nowNanos));
    }

    private void tryCharge(CompletableFuture<Void> charged, int tokenRequestsLeft) {
        if (abandoned) {
            return;
        }
        final long nowNanos = environment.nowNanos();
        final Charge tried =
                environment.admission().charge(organisation.orElseThrow(), request, nowNanos);
        if (tried.granted()) {
            charge = Optional.of(tried);
            charged.complete(null);
        } else if (tokenRequestsLeft > 0 && tried.poolMayHaveTokens()) {
            environment.leader().afterNextReport(() -> tryCharge(charged, tokenRequestsLeft - 1));
        } else {
            charged.completeExceptionally(
                    environment.admission().refusal(tried, request.takesUpStream(), nowNanos));
        }
    }
}
