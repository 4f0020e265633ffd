package org.crocushaven.backend;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Finds the last {@code "usage"} object in the bytes of an answer as they arrive.
 *
 * <p>The parts of the answer are not parsed as JSON. A quotation mark inside a JSON string is
 * always escaped, so the unescaped key cannot be part of generated text; a string whose whole value
 * is {@code usage} is recognised by the missing colon.
 */
final class UsageScanner {
    /** Returned when an answer reports no usage. */
    static final long UNREPORTED = -1;

    private static final JsonFactory JSON = new JsonFactory();
    private static final byte[] KEY = "\"usage\"".getBytes(StandardCharsets.US_ASCII);
    private static final int MAXIMUM_CAPTURED_BYTES = 1_024;
    private static final int TAIL_BYTES = 32;

    private final byte[] tail = new byte[TAIL_BYTES];
    private byte[] capture = new byte[0];
    private byte[] lastReported = new byte[0];
    private int captured;
    private boolean capturing;
    private int matchedKeyBytes;
    private byte previousByte;

    /** Scans the next part of the answer. */
    void scan(byte[] bytes) {
        for (final byte next : bytes) {
            if (capturing) {
                capture(next);
            }
            matchKey(next);
            previousByte = next;
        }
        keepTail(bytes);
    }

    /** Returns the number of prompt and output tokens together, or {@link #UNREPORTED}. */
    long usedTokens() {
        final long last = parse(Arrays.copyOf(capture, captured));
        return last != UNREPORTED ? last : parse(lastReported);
    }

    /** Returns whether the answer ends with the end marker of an event stream. */
    boolean endsWithDone() {
        final String text = new String(tail, StandardCharsets.ISO_8859_1).stripTrailing();
        return text.endsWith("data: [DONE]") || text.endsWith("data:[DONE]");
    }

    private void matchKey(byte next) {
        if (matchedKeyBytes == 0 && next == KEY[0] && previousByte == '\\') {
            return;
        }
        if (next == KEY[matchedKeyBytes]) {
            matchedKeyBytes++;
        } else {
            matchedKeyBytes = next == KEY[0] ? 1 : 0;
        }
        if (matchedKeyBytes == KEY.length) {
            matchedKeyBytes = 0;
            startCapture();
        }
    }

    private void startCapture() {
        final byte[] previous = Arrays.copyOf(capture, captured);
        if (parse(previous) != UNREPORTED) {
            lastReported = previous;
        }
        if (capture.length == 0) {
            capture = new byte[MAXIMUM_CAPTURED_BYTES];
        }
        captured = 0;
        capturing = true;
    }

    private void capture(byte next) {
        if (captured == 0 && next == ' ') {
            return;
        }
        if (captured == 0 && next != ':') {
            capturing = false;
            return;
        }
        capture[captured++] = next;
        capturing = captured < MAXIMUM_CAPTURED_BYTES;
    }

    private void keepTail(byte[] bytes) {
        if (bytes.length >= TAIL_BYTES) {
            System.arraycopy(bytes, bytes.length - TAIL_BYTES, tail, 0, TAIL_BYTES);
        } else {
            System.arraycopy(tail, bytes.length, tail, 0, TAIL_BYTES - bytes.length);
            System.arraycopy(bytes, 0, tail, TAIL_BYTES - bytes.length, bytes.length);
        }
    }

    private static long parse(byte[] text) {
        if (text.length == 0) {
            return UNREPORTED;
        }
        try (JsonParser parser = JSON.createParser(text, 1, text.length - 1)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                return UNREPORTED;
            }
            return tokenSum(parser);
        } catch (IOException malformed) {
            return UNREPORTED;
        }
    }

    private static long tokenSum(JsonParser parser) throws IOException {
        long total = UNREPORTED;
        long parts = 0;
        boolean partSeen = false;
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            final String name = parser.currentName();
            if (parser.nextToken() == JsonToken.VALUE_NUMBER_INT) {
                if ("total_tokens".equals(name)) {
                    total = parser.getLongValue();
                } else if ("prompt_tokens".equals(name) || "completion_tokens".equals(name)) {
                    parts += parser.getLongValue();
                    partSeen = true;
                }
            } else {
                parser.skipChildren();
            }
        }
        if (total >= 0) {
            return total;
        }
        return partSeen ? parts : UNREPORTED;
    }
}
