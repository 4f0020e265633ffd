package org.crocushaven.caller;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/** Reads the caller's API key from the {@code Authorization} header. */
final class BearerKey {
    private static final Pattern BEARER =
            Pattern.compile("[Bb][Ee][Aa][Rr][Ee][Rr] +([\\x21-\\x7E&&[^,]]{1,512})");

    private BearerKey() {}

    /**
     * Returns the key, or empty if the header is missing.
     *
     * @throws ResultException if the header occurs more than once or is malformed
     */
    static Optional<String> read(HttpHeaders headers) {
        final List<String> values = headers.getAll(HttpHeaderNames.AUTHORIZATION);
        if (values.isEmpty()) {
            return Optional.empty();
        }
        final Matcher matcher = BEARER.matcher(values.get(0));
        if (values.size() > 1 || !matcher.matches()) {
            throw ResultException.of(ResultCode.KEY_AMBIGUOUS);
        }
        return Optional.of(matcher.group(1));
    }
}
