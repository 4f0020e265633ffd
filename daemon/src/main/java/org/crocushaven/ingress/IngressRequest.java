package org.crocushaven.ingress;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Contains a decoded request of a client.
 *
 * @param requestId identifier that the client assigned; each retry by the client has its own
 * @param method HTTP method as sent
 * @param target path and query as sent
 * @param host host without port, in lower case
 * @param path path without query
 * @param headers headers to forward, without those of the connection, the key, and those that the
 *     gateway sets itself
 * @param deadlineMillis how long the client waits, counted from the arrival of the request
 * @param key key that the client presented
 * @param model requested base model or adapter
 * @param usage declared size of the generation
 * @param promptParts parts of the prompt, in order
 * @param lastEventId event after which a stream should resume
 * @param resumedRequestId identifier of the request that brought the first event of the stream that
 *     this one resumes
 * @param relayedAttempts number of backend servers to which the request may be sent, if another
 *     gateway has handed it over; empty for a client's own
 */
public record IngressRequest(
        String requestId,
        HttpMethod method,
        String target,
        String host,
        String path,
        HttpHeaders headers,
        OptionalLong deadlineMillis,
        Optional<String> key,
        Optional<ModelReference> model,
        Optional<DeclaredUsage> usage,
        List<PromptPart> promptParts,
        Optional<String> lastEventId,
        Optional<String> resumedRequestId,
        OptionalInt relayedAttempts) {
    /** Stands for the identifier where a client sends none. */
    public static final String UNNAMED = "-";

    public IngressRequest {
        promptParts = List.copyOf(promptParts);
    }

    /** Returns whether the client has given the request an identifier. */
    public boolean isNamed() {
        return !requestId.equals(UNNAMED);
    }

    /** Returns whether another gateway has handed the request over. */
    public boolean isRelayed() {
        return relayedAttempts.isPresent();
    }

    /** Returns whether the client has received a part of the stream that it asks for. */
    public boolean takesUpStream() {
        return resumedRequestId.isPresent() || lastEventId.isPresent();
    }
}
