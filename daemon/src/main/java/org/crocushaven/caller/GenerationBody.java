package org.crocushaven.caller;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Contains the fields of a generation request that the daemon uses, parsed in one pass.
 *
 * @param model the model as sent by the caller
 * @param stream whether the caller requested server-sent events
 * @param promptBytes length of the prompt's texts in UTF-8, plus 4 bytes per token identifier
 * @param maximumOutputTokens maximum number of tokens to generate
 * @param body the body to forward, with the default token limit added if the caller set none
 */
record GenerationBody(
        String model, boolean stream, long promptBytes, long maximumOutputTokens, byte[] body) {
    static final long DEFAULT_MAXIMUM_OUTPUT_TOKENS = 256;
    static final long MAXIMUM_OUTPUT_TOKENS_LIMIT = 1_000_000;

    private static final JsonFactory JSON = new JsonFactory();

    /**
     * Parses the body of a request for the given route.
     *
     * @throws ResultException if the body is malformed
     */
    static GenerationBody parse(RequestTarget.Route route, byte[] body) {
        try (JsonParser parser = JSON.createParser(body)) {
            return new Reader(parser, promptField(route)).read(body);
        } catch (IOException malformed) {
            throw malformed("the body is not valid JSON");
        }
    }

    private static String promptField(RequestTarget.Route route) {
        return route == RequestTarget.Route.CHAT ? "messages" : "prompt";
    }

    private static ResultException malformed(String reason) {
        return ResultException.of(ResultCode.MALFORMED_REQUEST, reason);
    }

    private static final class Reader {
        private static final int BYTES_PER_TOKEN_IDENTIFIER = 4;
        private static final long ABSENT = -1;

        private final JsonParser parser;
        private final String promptField;
        private final Set<String> seenFields = new HashSet<>();
        private String model;
        private boolean stream;
        private boolean promptSeen;
        private long promptBytes;
        private long maximumTokens = ABSENT;

        Reader(JsonParser parser, String promptField) {
            this.parser = parser;
            this.promptField = promptField;
        }

        GenerationBody read(byte[] body) throws IOException {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw malformed("the body is not a JSON object");
            }
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                final String name = parser.currentName();
                if (!seenFields.add(name)) {
                    throw malformed("the field " + name + " is given twice");
                }
                parser.nextToken();
                readField(name);
            }
            if (parser.nextToken() != null) {
                throw malformed("the body goes on after the JSON object");
            }
            return finish(body);
        }

        private void readField(String name) throws IOException {
            if (name.equals(promptField)) {
                promptSeen = true;
                readPrompt();
                return;
            }
            switch (name) {
                case "model" -> model = requireString(name);
                case "stream" -> stream = requireBoolean(name);
                case "max_tokens", "max_completion_tokens" -> readMaximumTokens(name);
                case "n" -> requireOneChoice();
                default -> parser.skipChildren();
            }
        }

        private GenerationBody finish(byte[] body) {
            if (model == null || model.isEmpty()) {
                throw malformed("the field model is missing");
            }
            if (!promptSeen) {
                throw malformed("the field " + promptField + " is missing");
            }
            if (maximumTokens != ABSENT) {
                return new GenerationBody(model, stream, promptBytes, maximumTokens, body);
            }
            return new GenerationBody(
                    model,
                    stream,
                    promptBytes,
                    DEFAULT_MAXIMUM_OUTPUT_TOKENS,
                    withDefaultMaximumTokens(body));
        }

        private void readMaximumTokens(String name) throws IOException {
            if (parser.currentToken() == JsonToken.VALUE_NULL) {
                return;
            }
            final boolean number = parser.currentToken() == JsonToken.VALUE_NUMBER_INT;
            final long value = number ? parser.getLongValue() : 0;
            if (value < 1 || value > MAXIMUM_OUTPUT_TOKENS_LIMIT) {
                throw malformed(
                        name + " must be a whole number from 1 to " + MAXIMUM_OUTPUT_TOKENS_LIMIT);
            }
            if (maximumTokens != ABSENT && maximumTokens != value) {
                throw malformed("max_tokens and max_completion_tokens differ");
            }
            maximumTokens = value;
        }

        private void readPrompt() throws IOException {
            final JsonToken first = parser.currentToken();
            final boolean text = first == JsonToken.VALUE_STRING;
            final boolean chat = "messages".equals(promptField);
            if (first != JsonToken.START_ARRAY && (chat || !text)) {
                throw malformed(
                        chat ? "messages must be an array" : "prompt must be a text or an array");
            }
            if (text) {
                promptBytes += currentTextUtf8Length();
                return;
            }
            int depth = 1;
            while (depth > 0) {
                final JsonToken token = parser.nextToken();
                if (token == null) {
                    throw malformed("the body ends early");
                }
                if (token.isStructStart()) {
                    depth++;
                } else if (token.isStructEnd()) {
                    depth--;
                } else if (token == JsonToken.VALUE_STRING) {
                    promptBytes += currentTextUtf8Length();
                } else if (token == JsonToken.VALUE_NUMBER_INT) {
                    promptBytes += BYTES_PER_TOKEN_IDENTIFIER;
                }
            }
        }

        private long currentTextUtf8Length() throws IOException {
            final char[] characters = parser.getTextCharacters();
            final int start = parser.getTextOffset();
            final int end = start + parser.getTextLength();
            long bytes = 0;
            for (int position = start; position < end; position++) {
                final char character = characters[position];
                if (character < 0x80) {
                    bytes++;
                } else if (character < 0x800 || Character.isSurrogate(character)) {
                    bytes += 2;
                } else {
                    bytes += 3;
                }
            }
            return bytes;
        }

        private String requireString(String name) throws IOException {
            if (parser.currentToken() != JsonToken.VALUE_STRING) {
                throw malformed(name + " must be a text");
            }
            return parser.getText();
        }

        private boolean requireBoolean(String name) throws IOException {
            if (parser.currentToken() == JsonToken.VALUE_NULL) {
                return false;
            }
            if (!parser.currentToken().isBoolean()) {
                throw malformed(name + " must be true or false");
            }
            return parser.getBooleanValue();
        }

        private void requireOneChoice() throws IOException {
            final JsonToken token = parser.currentToken();
            final boolean one = token == JsonToken.VALUE_NUMBER_INT && parser.getLongValue() == 1;
            if (!one && token != JsonToken.VALUE_NULL) {
                throw malformed("n must be 1");
            }
        }

        private byte[] withDefaultMaximumTokens(byte[] body) {
            // Avoids a second max_tokens if the caller set it to null.
            final String field =
                    seenFields.contains("max_tokens") ? "max_completion_tokens" : "max_tokens";
            final byte[] added =
                    ("\"" + field + "\":" + DEFAULT_MAXIMUM_OUTPUT_TOKENS + ",")
                            .getBytes(StandardCharsets.US_ASCII);
            int start = 0;
            while (body[start] != '{') {
                start++;
            }
            start++;
            final byte[] result = new byte[body.length + added.length];
            System.arraycopy(body, 0, result, 0, start);
            System.arraycopy(added, 0, result, start, added.length);
            System.arraycopy(body, start, result, start + added.length, body.length - start);
            return result;
        }
    }
}
