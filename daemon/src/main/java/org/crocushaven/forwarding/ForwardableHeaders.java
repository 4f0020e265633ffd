package org.crocushaven.forwarding;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Copies the end-to-end headers of a message, without those that concern only its connection. */
public final class ForwardableHeaders {
    private static final Set<String> CONNECTION_HEADERS =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-connection",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "content-length",
                    "expect");

    private ForwardableHeaders() {}

    /**
     * Returns a copy of the headers without those of the connection.
     *
     * @param dropped further header names to leave out, in lower case
     */
    public static HttpHeaders copy(HttpHeaders headers, Set<String> dropped) {
        final Set<String> named = new HashSet<>();
        for (final String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (final String name : value.split(",")) {
                named.add(name.trim().toLowerCase(Locale.ROOT));
            }
        }
        final HttpHeaders copy = new DefaultHttpHeaders();
        for (final Map.Entry<String, String> header : headers) {
            final String name = header.getKey().toLowerCase(Locale.ROOT);
            if (!CONNECTION_HEADERS.contains(name)
                    && !dropped.contains(name)
                    && !named.contains(name)) {
                copy.add(header.getKey(), header.getValue());
            }
        }
        return copy;
    }
}
