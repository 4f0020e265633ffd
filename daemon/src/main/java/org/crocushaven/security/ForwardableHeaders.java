package org.crocushaven.security;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Decides which headers are forwarded between callers and backend servers.
 *
 * <p>Request headers are forwarded only if they are on an allow list, so that no credential is
 * forwarded, whatever the name of its header. Answer headers are forwarded unless they are on a
 * deny list of hop-by-hop headers, which belong to a single connection.
 */
public final class ForwardableHeaders {
    private static final Set<String> FROM_CALLER =
            Set.of(
                    "accept",
                    "accept-language",
                    "content-encoding",
                    "content-language",
                    "content-type",
                    "if-match",
                    "if-modified-since",
                    "if-none-match",
                    "if-unmodified-since",
                    "range",
                    "traceparent",
                    "tracestate");

    private static final Set<String> ADDED_BY_INSTANCE =
            Set.of(
                    "crocushaven-organisation",
                    "crocushaven-request-id",
                    "crocushaven-timeout-millis",
                    "idempotency-key",
                    "priority");

    private static final Set<String> HOP_BY_HOP_HEADERS =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade");

    private ForwardableHeaders() {}

    /** Returns whether a header of a caller's request may be forwarded to a backend server. */
    public static boolean mayForwardFromCaller(String lowerCaseName) {
        return FROM_CALLER.contains(lowerCaseName);
    }

    /**
     * Returns whether a header may be sent to a backend server: one that may be forwarded, or one
     * that an instance adds.
     */
    public static boolean maySendToBackendServer(String lowerCaseName) {
        return FROM_CALLER.contains(lowerCaseName) || ADDED_BY_INSTANCE.contains(lowerCaseName);
    }

    /** Returns whether a header of a backend server's answer may be forwarded to the caller. */
    public static boolean mayForwardToCaller(String lowerCaseName) {
        return !HOP_BY_HOP_HEADERS.contains(lowerCaseName);
    }

    /** Returns the headers of an answer that may be forwarded to the caller, by lower-case name. */
    public static Map<String, List<String>> answerHeaders(
            Iterable<Map.Entry<String, String>> headers) {
        final Map<String, List<String>> result = new LinkedHashMap<>();
        for (final Map.Entry<String, String> header : headers) {
            final String name = header.getKey().toLowerCase(Locale.ROOT);
            if (mayForwardToCaller(name)) {
                result.computeIfAbsent(name, unused -> new ArrayList<>(1)).add(header.getValue());
            }
        }
        return result;
    }
}
