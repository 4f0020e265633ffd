package org.crocushaven.forwarding;

import java.nio.ByteBuffer;
import java.util.List;
import org.crocushaven.ingress.IngressRequest;
import org.crocushaven.ingress.PromptPart;

/** A request with a prompt at one gateway, over all its attempts. */
final class SimulatedRequest {
    private final SimulatedGateway gateway;
    private final long life;
    private final RequestGuard guard;
    private final IngressRequest request;
    private final long body;
    private int attempts;
    private long events;

    /**
     * Creates a request.
     *
     * @param body tells it from others that are not the same
     */
    SimulatedRequest(
            SimulatedGateway gateway, long number, long body, String model, List<Long> parts) {
        this.gateway = gateway;
        this.life = gateway.life();
        this.request =
                ChatRequestBuilder.of(model, "a")
                        .named("request-" + number)
                        .promptParts(parts.stream().map(part -> new PromptPart(part, 1)).toList())
                        .build();
        this.body = body;
        this.guard = gateway.guard().of(request);
        guard.identify(
                RequestTraits.of(
                        request, "first", ByteBuffer.allocate(Long.BYTES).putLong(body).array()));
    }

    SimulatedGateway gateway() {
        return gateway;
    }

    RequestGuard guard() {
        return guard;
    }

    /** Returns whether its gateway still runs. */
    boolean isAlive() {
        return life == gateway.life();
    }

    boolean hasPart(long part) {
        final List<PromptPart> parts = request.promptParts();
        return parts.stream()
                .limit(Math.max(0, parts.size() - 1L))
                .anyMatch(own -> own.identifier() == part);
    }

    long body() {
        return body;
    }

    /** Returns the trait of the whole request. */
    long wholeTrait() {
        return guard.traits().traits().get(0);
    }

    int nextAttempt() {
        events = 0;
        return ++attempts;
    }

    int attempts() {
        return attempts;
    }

    long events() {
        return events;
    }

    void addEvent() {
        events++;
        guard.recordEvents(events);
    }
}
