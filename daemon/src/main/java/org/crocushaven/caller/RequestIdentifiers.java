package org.crocushaven.caller;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Pattern;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Generates request identifiers that are unique in the fleet.
 *
 * <p>A generated identifier contains the start time so that a restarted instance does not repeat
 * earlier ones. An identifier chosen by the caller is used only as a prefix of the generated one,
 * since two callers may choose the same identifier.
 */
final class RequestIdentifiers {
    private static final int RADIX = Character.MAX_RADIX;
    private static final Pattern ALLOWED = Pattern.compile("[A-Za-z0-9._-]{1,64}");

    private final String prefix;
    private final AtomicLong counter = new AtomicLong();

    private RequestIdentifiers(String prefix) {
        this.prefix = prefix;
    }

    /** Returns a generator for one run of an instance. */
    static RequestIdentifiers of(String instance, long startMillis) {
        return new RequestIdentifiers(instance + "-" + Long.toString(startMillis, RADIX) + "-");
    }

    /** Returns a new identifier that starts with the caller's identifier, if there is one. */
    String next(Optional<String> callerIdentifier) {
        final String generated = prefix + Long.toString(counter.incrementAndGet(), RADIX);
        return callerIdentifier.map(text -> text + "-" + generated).orElse(generated);
    }

    /**
     * Returns the caller's identifier, or empty if the text is null.
     *
     * @throws ResultException if the identifier is malformed
     */
    static Optional<String> parse(String text) {
        if (text == null) {
            return Optional.empty();
        }
        if (!ALLOWED.matcher(text).matches()) {
            throw ResultException.of(
                    ResultCode.MALFORMED_REQUEST,
                    "Crocushaven-Request-Id must have 1 to 64 of A-Z a-z 0-9 . _ -");
        }
        return Optional.of(text);
    }
}
