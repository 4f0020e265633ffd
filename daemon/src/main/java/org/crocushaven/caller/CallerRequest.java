package org.crocushaven.caller;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.crocushaven.configuration.KeyHash;

/**
 * Represents a parsed request within the size limits, without the caller's credentials.
 *
 * @param requestId identifier assigned by this instance, unique in the fleet
 * @param kind whether the request is for a model engine or a plain service
 * @param target for an engine, the {@code model} as sent by the caller; for a plain service, the
 *     service's name
 * @param method HTTP method, in upper case
 * @param path for an engine, the route's path; for a plain service, the path below {@code
 *     /services/{service}} with the query
 * @param headers headers that may be forwarded, keyed by lower-case name
 * @param body the request body
 * @param stream whether the caller requested server-sent events
 * @param promptTokens estimated number of tokens in the prompt
 * @param maximumOutputTokens maximum number of tokens to generate
 * @param deadlineNanos time on the daemon's monotonic clock by which the answer is needed
 * @param urgency RFC 9218 urgency, 0 (highest) to 7
 * @param idempotencyKey the caller's idempotency key, or empty
 * @param key hash of the caller's key, or empty if the request has none
 */
public record CallerRequest(
        String requestId,
        Kind kind,
        String target,
        String method,
        String path,
        Map<String, List<String>> headers,
        byte[] body,
        boolean stream,
        long promptTokens,
        long maximumOutputTokens,
        long deadlineNanos,
        int urgency,
        Optional<String> idempotencyKey,
        Optional<KeyHash> key) {
    /** Specifies the kind of target. */
    public enum Kind {
        /** A model engine. */
        ENGINE,
        /** A plain service. */
        PLAIN
    }
}
