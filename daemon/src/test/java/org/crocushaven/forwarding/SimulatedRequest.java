package org.crocushaven.forwarding;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.crocushaven.ingress.IngressRequest;
import org.crocushaven.ingress.ModelReference;
import org.crocushaven.ingress.PromptPart;

/** A request with a prompt at one gateway, over all its attempts. */
final class SimulatedRequest {
    private final SimulatedGateway gateway;
    private final long life;
    private final RequestGuard guard;
    private final IngressRequest request;
    private int attempts;
    private long events;

    SimulatedRequest(SimulatedGateway gateway, long number, String model, List<Long> parts) {
        this.gateway = gateway;
        this.life = gateway.life();
        this.request =
                new IngressRequest(
                        "request-" + number,
                        HttpMethod.POST,
                        "/chat/x",
                        "host",
                        "/chat/x",
                        new DefaultHttpHeaders(),
                        OptionalLong.empty(),
                        Optional.empty(),
                        Optional.of(new ModelReference(model, "a")),
                        Optional.empty(),
                        parts.stream().map(part -> new PromptPart(part, 1)).toList(),
                        Optional.empty(),
                        Optional.empty());
        this.guard = gateway.guard().of(request);
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
        return parts.stream().limit(parts.size() - 1L).anyMatch(own -> own.identifier() == part);
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
