package org.crocushaven.configuration;

/**
 * A route of a plain service, or the generation route of an engine service.
 *
 * @param method HTTP method, upper case
 * @param path path below the service's root; a trailing {@code /*} matches every longer path
 * @param idempotent whether a call may be repeated
 * @param open whether calls are accepted without a key
 * @param timeoutMillis timeout of a call, in milliseconds
 * @param tokens tokens charged to the organisation for a call of a plain service
 */
public record Route(
        String method,
        String path,
        boolean idempotent,
        boolean open,
        long timeoutMillis,
        long tokens) {}
