package org.crocushaven.bench.standin;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Detects headers that carry a caller's credential; these must not reach a backend server. */
final class Credentials {
    private static final Set<String> CREDENTIAL_HEADERS =
            Set.of("authorization", "cookie", "proxy-authorization", "x-api-key", "api-key");

    private Credentials() {}

    static boolean present(HttpHeaders headers) {
        for (final Map.Entry<String, String> header : headers) {
            final String name = header.getKey().toLowerCase(Locale.ROOT);
            if (CREDENTIAL_HEADERS.contains(name) || header.getValue().startsWith("Bearer ")) {
                return true;
            }
        }
        return false;
    }
}
