package org.crocushaven.backend;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import org.crocushaven.configuration.AdapterVersion;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/** Parses and checks the bodies of announcements; a refusal names the invalid field. */
final class AnnouncementParser {
    private static final ObjectMapper JSON =
            new ObjectMapper()
                    .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
    private static final Pattern IP_ADDRESS =
            Pattern.compile(
                    "(?:(?:25[0-5]|2[0-4]\\d|1?\\d?\\d)(?:\\.(?!$)|$)){4}"
                            + "|(?=.*:.*:)[0-9A-Fa-f:.]{2,45}");
    private static final int MAXIMUM_PORT = 65_535;
    private static final int MAXIMUM_ADAPTER_SLOTS = 100_000;
    private static final int MAXIMUM_CONCURRENT_REQUESTS = 100_000;
    private static final int MAXIMUM_LISTED_VERSIONS = 100_000;

    private final JsonNode body;

    private AnnouncementParser(JsonNode body) {
        this.body = body;
    }

    /** Returns a parser of the given body. */
    static AnnouncementParser of(byte[] body) {
        try {
            final JsonNode parsed = JSON.readTree(body);
            if (parsed == null || !parsed.isObject()) {
                throw invalid("the body must be a JSON object");
            }
            return new AnnouncementParser(parsed);
        } catch (IOException malformed) {
            throw invalid("the body must be a single JSON object without duplicate fields");
        }
    }

    /** Reads the body of a registration. */
    BackendServer registration() {
        return new BackendServer(
                name(),
                text(
                        "service",
                        NAME,
                        "1 to 64 characters of A-Z a-z 0-9 . _ -, the first a letter or digit"),
                text(
                        "failure_domain",
                        NAME,
                        "1 to 64 characters of A-Z a-z 0-9 . _ -, the first a letter or digit"),
                text("host", IP_ADDRESS, "an IP address"),
                (int) number("port", 1, MAXIMUM_PORT),
                incarnation(),
                (int) number("adapter_slots", 0, MAXIMUM_ADAPTER_SLOTS),
                (int) number("concurrent_requests", 1, MAXIMUM_CONCURRENT_REQUESTS),
                flag("checks_fencing"));
    }

    /** Reads the body of a heartbeat. */
    LoadReport heartbeat() {
        return new LoadReport(
                incarnation(),
                number("sequence", 0, Long.MAX_VALUE),
                (int) number("running", 0, Integer.MAX_VALUE),
                (int) number("waiting", 0, Integer.MAX_VALUE),
                versions("loaded"),
                versions("busy"),
                flag("draining"));
    }

    /** Reads the name of the backend server. */
    String name() {
        return text(
                "name",
                NAME,
                "1 to 64 characters of A-Z a-z 0-9 . _ -, the first a letter or digit");
    }

    /** Reads the incarnation of the backend server. */
    long incarnation() {
        return number("incarnation", 0, Long.MAX_VALUE);
    }

    private String text(String field, Pattern allowed, String description) {
        final JsonNode value = body.path(field);
        if (!value.isTextual() || !allowed.matcher(value.textValue()).matches()) {
            throw invalid(field + " must be " + description);
        }
        return value.textValue();
    }

    private long number(String field, long minimum, long maximum) {
        final JsonNode value = body.path(field);
        if (!value.isIntegralNumber()
                || !value.canConvertToLong()
                || value.longValue() < minimum
                || value.longValue() > maximum) {
            throw invalid(field + " must be a whole number from " + minimum + " to " + maximum);
        }
        return value.longValue();
    }

    private boolean flag(String field) {
        final JsonNode value = body.path(field);
        if (!value.isBoolean()) {
            throw invalid(field + " must be true or false");
        }
        return value.booleanValue();
    }

    private List<AdapterVersion> versions(String field) {
        final JsonNode values = body.path(field);
        if (!values.isArray() || values.size() > MAXIMUM_LISTED_VERSIONS) {
            throw invalid(
                    field + " must be an array of at most " + MAXIMUM_LISTED_VERSIONS + " strings");
        }
        final List<AdapterVersion> result = new ArrayList<>(values.size());
        for (final JsonNode value : values) {
            try {
                result.add(AdapterVersion.parse(value.isTextual() ? value.textValue() : ""));
            } catch (IllegalArgumentException malformed) {
                throw invalid(field + " must contain strings of the form adapter@version");
            }
        }
        return result;
    }

    private static ResultException invalid(String reason) {
        return ResultException.of(ResultCode.ANNOUNCEMENT_INVALID, reason);
    }
}
