package org.crocushaven.backend;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.crocushaven.configuration.AdapterVersion;

/**
 * A request to a backend server.
 *
 * @param requestId identifier of the request
 * @param method HTTP method
 * @param path path with query
 * @param headers headers by lower-case name; credentials of the caller are removed before sending
 * @param body request body; if {@code version} is present, it replaces the value of the {@code
 *     model} field in the body that is sent to an engine
 * @param version the adapter version; empty for the base model and for plain services
 * @param timeoutMillis maximum time until the answer is complete, in milliseconds
 * @param urgency RFC 9218 urgency
 */
public record BackendRequest(
        String requestId,
        String method,
        String path,
        Map<String, List<String>> headers,
        byte[] body,
        Optional<AdapterVersion> version,
        long timeoutMillis,
        int urgency) {}
