package org.crocushaven.forwarding;

import java.util.List;
import java.util.Optional;
import org.crocushaven.ingress.IngressConfiguration;
import org.crocushaven.ingress.IngressLimits;
import org.crocushaven.ingress.IngressRoute;
import org.crocushaven.ingress.KeyedOrganisation;
import org.crocushaven.ingress.RouteKind;
import org.crocushaven.ingress.WeightedService;

/** Builds the route {@code /chat/}: open streams, sent once, unless a test says otherwise. */
final class ChatRouteBuilder {
    private final List<WeightedService> targets;
    private RouteKind kind = RouteKind.STREAM;
    private long timeoutMillis = 10_000;
    private long objectiveMillis = 600;
    private long pauseMillis = 300;
    private int maximumAttempts = 1;
    private boolean open = true;
    private boolean resumable;

    private ChatRouteBuilder(List<WeightedService> targets) {
        this.targets = targets;
    }

    /** Begins the route to one service. */
    static ChatRouteBuilder to(String service) {
        return to(List.of(new WeightedService(service, 1)));
    }

    static ChatRouteBuilder to(List<WeightedService> services) {
        return new ChatRouteBuilder(services);
    }

    ChatRouteBuilder kind(RouteKind routeKind) {
        kind = routeKind;
        return this;
    }

    ChatRouteBuilder timeoutMillis(long millis) {
        timeoutMillis = millis;
        return this;
    }

    /** Sets the time to the first event and the time between two that clients want. */
    ChatRouteBuilder objectives(long firstMillis, long betweenMillis) {
        objectiveMillis = firstMillis;
        pauseMillis = betweenMillis;
        return this;
    }

    ChatRouteBuilder attempts(int maximum) {
        maximumAttempts = maximum;
        return this;
    }

    ChatRouteBuilder open(boolean withoutKey) {
        open = withoutKey;
        return this;
    }

    ChatRouteBuilder resumable(boolean streamsGoOn) {
        resumable = streamsGoOn;
        return this;
    }

    IngressRoute build() {
        return new IngressRoute(
                "chat",
                "host",
                "/chat/",
                kind,
                timeoutMillis,
                objectiveMillis,
                pauseMillis,
                0,
                targets,
                maximumAttempts,
                open,
                resumable,
                List.of());
    }

    /** Returns a configuration of version 1 with only this route. */
    IngressConfiguration configuration(List<KeyedOrganisation> organisations) {
        return configuration(Optional.of(organisations));
    }

    /** Returns a configuration of version 1 with only this route, whose requests need no key. */
    IngressConfiguration configuration() {
        return configuration(Optional.empty());
    }

    private IngressConfiguration configuration(Optional<List<KeyedOrganisation>> organisations) {
        return IngressConfiguration.of(
                1, List.of(build()), List.of(), organisations, IngressLimits.DEFAULT);
    }
}
