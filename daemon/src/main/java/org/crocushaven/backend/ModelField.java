package org.crocushaven.backend;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.io.IOException;
import java.util.Optional;

/** Reads and replaces the top-level {@code model} field of a request body. */
final class ModelField {
    private static final JsonFactory JSON = new JsonFactory();
    private static final String NAME = "model";

    private ModelField() {}

    /** Returns the value of the field; empty when the body has none. */
    static Optional<String> read(byte[] body) {
        try (JsonParser parser = JSON.createParser(body)) {
            return advanceToValue(parser) ? Optional.of(parser.getText()) : Optional.empty();
        } catch (IOException malformed) {
            return Optional.empty();
        }
    }

    /** Returns the body with the field's value replaced; unchanged when the body has none. */
    static byte[] replace(byte[] body, String value) {
        try (JsonParser parser = JSON.createParser(body)) {
            if (!advanceToValue(parser)) {
                return body;
            }
            final int start = (int) parser.currentTokenLocation().getByteOffset();
            parser.getText();
            final int end = (int) parser.currentLocation().getByteOffset();
            final byte[] text = JsonStringEncoder.getInstance().quoteAsUTF8(value);
            final byte[] result = new byte[start + text.length + 2 + body.length - end];
            System.arraycopy(body, 0, result, 0, start);
            result[start] = '"';
            System.arraycopy(text, 0, result, start + 1, text.length);
            result[start + 1 + text.length] = '"';
            System.arraycopy(body, end, result, start + text.length + 2, body.length - end);
            return result;
        } catch (IOException malformed) {
            throw new IllegalArgumentException("request body is not a JSON object", malformed);
        }
    }

    private static boolean advanceToValue(JsonParser parser) throws IOException {
        if (parser.nextToken() != JsonToken.START_OBJECT) {
            return false;
        }
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            final boolean isModelField = NAME.equals(parser.currentName());
            if (parser.nextToken() == JsonToken.VALUE_STRING && isModelField) {
                return true;
            }
            parser.skipChildren();
        }
        return false;
    }
}
