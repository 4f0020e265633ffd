package org.crocushaven.ingress;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * A request of a client, decoded.
 *
 * @param requestId identifier that the client gave to this attempt
 * @param method method as sent
 * @param target path and query as sent
 * @param host host without port, in lower case
 * @param path path without query
 * @param headers headers to pass on: none that concerns the connection, the key, or is this
 *     system's to set
 * @param deadlineMillis how long the client waits, from the arrival of the request
 * @param key the key presented
 * @param model the model or adapter asked for
 * @param usage declared size of a generation
 * @param promptParts parts of the prompt, in order
 * @param lastEventId the event after which a stream is to go on
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
        Optional<String> lastEventId) {
    public IngressRequest {
        promptParts = List.copyOf(promptParts);
    }
}
