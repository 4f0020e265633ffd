package org.crocushaven.bench.standin;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Generates the text of a stand-in engine as a pure function of the model, the request identifier
 * and the prompt, so that a caller can verify that an answer is complete and its own.
 */
public final class GeneratedText {
    private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;
    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final int RADIX = 36;
    private static final int DEFAULT_TOKENS = 16;

    private final long seed;

    private GeneratedText(long seed) {
        this.seed = seed;
    }

    /** Returns the generated text for a request. */
    public static GeneratedText of(String model, String requestId, String prompt) {
        return new GeneratedText(hash(hash(hash(0, model), requestId), prompt));
    }

    /** Extracts the prompt from the body of a chat or completion request. */
    public static String prompt(JsonNode body) {
        if (!body.has("messages")) {
            return body.path("prompt").asText();
        }
        final StringBuilder prompt = new StringBuilder();
        for (final JsonNode message : body.path("messages")) {
            prompt.append(message.path("role").asText()).append(':');
            prompt.append(message.path("content").asText()).append('\n');
        }
        return prompt.toString();
    }

    /** Returns the number of tokens that a request body asks for, at least 1. */
    public static int requestedTokens(JsonNode body) {
        final int completion = body.path("max_completion_tokens").asInt(DEFAULT_TOKENS);
        return Math.max(1, body.path("max_tokens").asInt(completion));
    }

    /** Returns the number of tokens of a prompt, at least 1. */
    public static int promptTokens(String prompt) {
        return Math.max(1, (prompt.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN);
    }

    /** Returns the token at a position, counted from 0. */
    public String token(int position) {
        final long mixed = mix(seed + HASH_MULTIPLIER * (position + 1));
        return Long.toUnsignedString(mixed >>> 44, RADIX) + " ";
    }

    /** Returns the first {@code tokens} tokens as one text. */
    public String text(int tokens) {
        final StringBuilder text = new StringBuilder();
        for (int position = 0; position < tokens; position++) {
            text.append(token(position));
        }
        return text.toString();
    }

    private static long hash(long start, String text) {
        long hash = start;
        for (int position = 0; position < text.length(); position++) {
            hash = (hash ^ text.charAt(position)) * HASH_MULTIPLIER;
        }
        return mix(hash);
    }

    private static long mix(long value) {
        final long first = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
        final long second = (first ^ (first >>> 27)) * 0x94D049BB133111EBL;
        return second ^ (second >>> 31);
    }
}
