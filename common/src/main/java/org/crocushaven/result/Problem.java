package org.crocushaven.result;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Duration;

/** Encodes refusals as RFC 9457 problem details. */
public final class Problem {
    /** Media type of problem details. */
    public static final String MEDIA_TYPE = "application/problem+json";

    private static final JsonFactory JSON = new JsonFactory();
    private static final int INITIAL_BYTES = 384;

    private Problem() {}

    /** Returns the problem details of a refusal as JSON. */
    public static byte[] encode(ResultException refusal, String requestId) {
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BYTES);
        try (JsonGenerator generator = JSON.createGenerator(bytes)) {
            generator.writeStartObject();
            generator.writeStringField("type", "urn:crocushaven:result:" + refusal.code().number());
            generator.writeStringField("title", refusal.code().name());
            generator.writeNumberField("status", refusal.code().httpStatus());
            generator.writeStringField("detail", refusal.getMessage());
            generator.writeNumberField("code", refusal.code().number());
            generator.writeStringField("execution", refusal.execution().headerValue());
            generator.writeStringField("request", requestId);
            if (refusal.retryAfter().isPresent()) {
                generator.writeNumberField(
                        "retry_after_millis", refusal.retryAfter().get().toMillis());
            }
            generator.writeEndObject();
        } catch (IOException impossible) {
            throw new IllegalStateException(impossible);
        }
        return bytes.toByteArray();
    }

    /** Returns a delay in seconds, rounded up. */
    public static long wholeSeconds(Duration delay) {
        return Math.floorDiv(delay.toMillis() + 999, 1_000L);
    }
}
