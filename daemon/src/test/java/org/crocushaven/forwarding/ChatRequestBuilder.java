package org.crocushaven.forwarding;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.crocushaven.ingress.IngressRequest;
import org.crocushaven.ingress.ModelReference;
import org.crocushaven.ingress.PromptPart;

/** Builds requests that clients send to the route of {@link ChatRouteBuilder}. */
final class ChatRequestBuilder {
    private static final String PATH = "/chat/x";

    private String requestId = "request";
    private String target = PATH;
    private Optional<String> key = Optional.empty();
    private Optional<ModelReference> model = Optional.empty();
    private List<PromptPart> promptParts = List.of();
    private Optional<String> lastEventId = Optional.empty();
    private Optional<String> resumedRequestId = Optional.empty();

    private ChatRequestBuilder() {}

    /** Begins a request that names no model. */
    static ChatRequestBuilder plain() {
        return new ChatRequestBuilder();
    }

    /** Begins a request for an adapter over a base model. */
    static ChatRequestBuilder of(String model, String adapter) {
        return plain().model(Optional.of(new ModelReference(model, adapter)));
    }

    ChatRequestBuilder named(String identifier) {
        requestId = identifier;
        return this;
    }

    /** Sets the path with its query. */
    ChatRequestBuilder target(String pathAndQuery) {
        target = pathAndQuery;
        return this;
    }

    ChatRequestBuilder key(String ofOrganisation) {
        key = Optional.of(ofOrganisation);
        return this;
    }

    ChatRequestBuilder model(Optional<ModelReference> reference) {
        model = reference;
        return this;
    }

    ChatRequestBuilder promptParts(List<PromptPart> parts) {
        promptParts = parts;
        return this;
    }

    /** Takes up a stream after an event, and may name the request that began it. */
    ChatRequestBuilder takingUp(Optional<String> lastEvent, Optional<String> begun) {
        lastEventId = lastEvent;
        resumedRequestId = begun;
        return this;
    }

    IngressRequest build() {
        return new IngressRequest(
                requestId,
                HttpMethod.POST,
                target,
                "host",
                PATH,
                new DefaultHttpHeaders().set(HttpHeaderNames.HOST, "one.example"),
                OptionalLong.empty(),
                key,
                model,
                Optional.empty(),
                promptParts,
                lastEventId,
                resumedRequestId,
                OptionalInt.empty());
    }
}
