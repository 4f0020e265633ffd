package org.crocushaven.caller;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import org.crocushaven.configuration.KeyHash;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.crocushaven.security.ForwardableHeaders;

/**
 * Contains the validated request line and headers of a caller's request.
 *
 * @param target requested route
 * @param method HTTP method
 * @param headers headers that may be forwarded, keyed by lower-case name
 * @param deadlineMillis time from arrival to the deadline, in milliseconds
 * @param urgency RFC 9218 urgency
 * @param idempotencyKey the caller's idempotency key, or empty
 * @param keyHash hash of the caller's key, or empty
 */
record RequestHead(
        RequestTarget target,
        String method,
        Map<String, List<String>> headers,
        long deadlineMillis,
        int urgency,
        Optional<String> idempotencyKey,
        Optional<KeyHash> keyHash) {
    static final String DEADLINE = "Crocushaven-Deadline-Millis";
    static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    static final String REQUEST_ID = "Crocushaven-Request-Id";

    private static final int MAXIMUM_IDEMPOTENCY_KEY_LENGTH = 128;

    /** Shorter keys may occur in other parts of a request by chance; no search is made for them. */
    private static final int MINIMUM_SEARCHED_KEY_LENGTH = 8;

    private static final long MAXIMUM_DEADLINE_MILLIS = 86_400_000;
    private static final Pattern IDEMPOTENCY_KEY_FORM = Pattern.compile("[\\x21-\\x7E]{1,128}");
    private static final Pattern JSON_TYPE =
            Pattern.compile(
                    "application/json\\s*(;\\s*charset\\s*=\\s*\"?utf-8\"?\\s*)?",
                    Pattern.CASE_INSENSITIVE);

    /**
     * Parses the head of a request.
     *
     * @throws ResultException if the request is refused
     */
    static RequestHead parse(HttpRequest request, long defaultDeadlineMillis) {
        final HttpHeaders headers = request.headers();
        final String method = request.method().name();
        checkFraming(request);
        final RequestTarget target = RequestTarget.parse(method, request.uri());
        final Optional<String> key = BearerKey.read(headers);
        if (target.route() == RequestTarget.Route.CHAT
                || target.route() == RequestTarget.Route.COMPLETION) {
            checkJson(headers);
        }
        final RequestHead head =
                new RequestHead(
                        target,
                        method,
                        forwardableHeaders(headers),
                        deadline(headers, defaultDeadlineMillis),
                        UrgencyHeader.parse(headers.get("Priority")),
                        idempotencyKey(headers),
                        key.map(KeyHash::ofKey));
        key.filter(text -> text.length() >= MINIMUM_SEARCHED_KEY_LENGTH)
                .ifPresent(text -> checkKeyNotForwarded(text, request.uri(), headers, head));
        return head;
    }

    private static void checkFraming(HttpRequest request) {
        final HttpHeaders headers = request.headers();
        if (!"HTTP/1.1".equals(request.protocolVersion().text())) {
            throw malformed("only HTTP/1.1 is spoken here");
        }
        final int hosts = headers.getAll(HttpHeaderNames.HOST).size();
        if (hosts == 0) {
            throw malformed("the Host header is missing");
        }
        if (hosts > 1) {
            throw conflicting("more than one Host");
        }
        final List<String> encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (encodings.size() > 1
                || encodings.size() == 1 && !"chunked".equalsIgnoreCase(encodings.get(0).trim())) {
            throw conflicting("a transfer encoding other than chunked");
        }
        singleValue(headers, HttpHeaderNames.CONTENT_TYPE.toString());
        singleValue(headers, HttpHeaderNames.CONTENT_ENCODING.toString());
    }

    private static void checkJson(HttpHeaders headers) {
        final String type = headers.get(HttpHeaderNames.CONTENT_TYPE);
        if (type != null && !JSON_TYPE.matcher(type.trim()).matches()) {
            throw ResultException.of(ResultCode.UNSUPPORTED_MEDIA_TYPE, type);
        }
        final String encoding = headers.get(HttpHeaderNames.CONTENT_ENCODING);
        if (encoding != null && !"identity".equalsIgnoreCase(encoding)) {
            throw ResultException.of(ResultCode.UNSUPPORTED_MEDIA_TYPE, encoding);
        }
    }

    private static Map<String, List<String>> forwardableHeaders(HttpHeaders headers) {
        final Map<String, List<String>> result = new LinkedHashMap<>();
        for (final Map.Entry<String, String> header : headers) {
            final String name = header.getKey().toLowerCase(Locale.ROOT);
            if (ForwardableHeaders.mayForwardFromCaller(name)) {
                result.computeIfAbsent(name, unused -> new ArrayList<>(1)).add(header.getValue());
            }
        }
        return result;
    }

    private static long deadline(HttpHeaders headers, long defaultMillis) {
        final String text = singleValue(headers, DEADLINE);
        if (text == null) {
            return defaultMillis;
        }
        try {
            final long millis = Long.parseLong(text.trim());
            if (millis >= 1 && millis <= MAXIMUM_DEADLINE_MILLIS) {
                return millis;
            }
        } catch (NumberFormatException notNumber) {
            throw invalidDeadline();
        }
        throw invalidDeadline();
    }

    private static Optional<String> idempotencyKey(HttpHeaders headers) {
        final List<String> values = headers.getAll(IDEMPOTENCY_KEY);
        if (values.isEmpty()) {
            return Optional.empty();
        }
        if (values.size() > 1 || !IDEMPOTENCY_KEY_FORM.matcher(values.get(0)).matches()) {
            throw ResultException.of(
                    ResultCode.IDEMPOTENCY_KEY_INVALID, MAXIMUM_IDEMPOTENCY_KEY_LENGTH);
        }
        return Optional.of(values.get(0));
    }

    /** Refuses a request that contains the key in a part that is forwarded to backend servers. */
    private static void checkKeyNotForwarded(
            String key, String uri, HttpHeaders headers, RequestHead head) {
        final boolean inHeaders =
                head.headers().values().stream()
                        .anyMatch(values -> values.stream().anyMatch(text -> text.contains(key)));
        final boolean inIdentifier =
                headers.contains(REQUEST_ID) && headers.get(REQUEST_ID).contains(key);
        final boolean inIdempotencyKey =
                head.idempotencyKey().filter(text -> text.contains(key)).isPresent();
        if (inHeaders || inIdentifier || inIdempotencyKey || containsKey(uri, key)) {
            throw malformed("the key stands outside the Authorization header");
        }
    }

    private static boolean containsKey(String uri, String key) {
        return uri.contains(key) || QueryStringDecoder.decodeComponent(uri).contains(key);
    }

    private static String singleValue(HttpHeaders headers, String name) {
        final List<String> values = headers.getAll(name);
        if (values.size() > 1) {
            throw conflicting("more than one " + name);
        }
        return values.isEmpty() ? null : values.get(0);
    }

    private static ResultException invalidDeadline() {
        return malformed(DEADLINE + " must be a whole number from 1 to " + MAXIMUM_DEADLINE_MILLIS);
    }

    private static ResultException malformed(String reason) {
        return ResultException.of(ResultCode.MALFORMED_REQUEST, reason);
    }

    private static ResultException conflicting(String reason) {
        return ResultException.of(ResultCode.CONFLICTING_HEADERS, reason);
    }
}
