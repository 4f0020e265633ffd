package org.crocushaven.caller;

import java.util.Locale;
import java.util.Set;
import java.util.regex.Pattern;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Represents the target of a request line.
 *
 * @param route requested route
 * @param service name of the plain service; empty for other routes
 * @param path for a plain service, the path below its root with the query; otherwise the path of
 *     the route
 */
record RequestTarget(Route route, String service, String path) {
    private static final String SERVICES = "/services/";
    private static final Set<String> SERVICE_METHODS =
            Set.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS");
    private static final Pattern VALID_CHARACTERS =
            Pattern.compile("[\\x21-\\x7E&&[^\"<>\\\\^`{|}#]]+");
    private static final Pattern INVALID_ESCAPE = Pattern.compile("%(?![0-9A-Fa-f]{2})");
    private static final Pattern ESCAPED_SEPARATOR =
            Pattern.compile("%(?:2f|5c|00)", Pattern.CASE_INSENSITIVE);

    /** Returns the value of the {@code Allow} header for a request target. */
    static String allowedMethods(String target) {
        if (target.startsWith(SERVICES)) {
            return String.join(", ", SERVICE_METHODS.stream().sorted().toList());
        }
        return target.startsWith("/v1/models") ? "GET" : "POST";
    }

    /**
     * Parses the method and target of a request line.
     *
     * @throws ResultException if the target is malformed, the route unknown or the method not
     *     allowed
     */
    static RequestTarget parse(String method, String target) {
        if (!target.startsWith("/")
                || !VALID_CHARACTERS.matcher(target).matches()
                || INVALID_ESCAPE.matcher(target).find()) {
            throw ResultException.of(
                    ResultCode.MALFORMED_REQUEST, "the request target is not a valid path");
        }
        final int query = target.indexOf('?');
        final String path = query < 0 ? target : target.substring(0, query);
        if (path.startsWith(SERVICES)) {
            return parseService(method, target, path);
        }
        return switch (path) {
            case "/v1/chat/completions" -> fixedRoute(Route.CHAT, "POST", method, path);
            case "/v1/completions" -> fixedRoute(Route.COMPLETION, "POST", method, path);
            case "/v1/models" -> fixedRoute(Route.MODELS, "GET", method, path);
            default -> throw ResultException.of(ResultCode.UNKNOWN_ROUTE, path);
        };
    }

    private static RequestTarget fixedRoute(
            Route route, String allowed, String method, String path) {
        if (!allowed.equals(method)) {
            throw ResultException.of(ResultCode.METHOD_NOT_ALLOWED, method, allowed);
        }
        return new RequestTarget(route, "", path);
    }

    private static RequestTarget parseService(String method, String target, String path) {
        checkSegments(path);
        final int end = path.indexOf('/', SERVICES.length());
        final String name = path.substring(SERVICES.length(), end < 0 ? path.length() : end);
        if (name.isEmpty()) {
            throw ResultException.of(ResultCode.UNKNOWN_ROUTE, path);
        }
        if (!SERVICE_METHODS.contains(method)) {
            throw ResultException.of(ResultCode.METHOD_NOT_ALLOWED, method, allowedMethods(target));
        }
        final String remainder = target.substring(SERVICES.length() + name.length());
        return new RequestTarget(
                Route.SERVICE, name, remainder.startsWith("/") ? remainder : "/" + remainder);
    }

    /**
     * Refuses paths with dot segments, empty segments or escaped separators, because a backend
     * server could resolve them to another route than the one checked here.
     */
    private static void checkSegments(String path) {
        boolean ambiguous = ESCAPED_SEPARATOR.matcher(path).find() || path.contains("//");
        for (final String segment : path.split("/")) {
            final String name =
                    segment.toLowerCase(Locale.ROOT)
                            .replace("%2e", ".")
                            .replaceAll("(;|%3b).*", "");
            ambiguous = ambiguous || name.equals(".") || name.equals("..");
        }
        if (ambiguous) {
            throw ResultException.of(
                    ResultCode.MALFORMED_REQUEST,
                    "the path has dot segments, empty segments or escaped separators");
        }
    }

    /** Specifies the routes of the caller port. */
    enum Route {
        CHAT,
        COMPLETION,
        MODELS,
        SERVICE
    }
}
