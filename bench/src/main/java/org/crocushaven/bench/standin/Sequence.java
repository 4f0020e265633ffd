package org.crocushaven.bench.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.crocushaven.bench.http.Exchange;

/**
 * Holds the state of one engine request from its arrival to the end of its answer; not thread-safe.
 */
final class Sequence {
    private static final int DEFAULT_URGENCY = 3;

    private final Exchange exchange;
    private final String model;
    private final String echoedModel;
    private final String requestId;
    private final GeneratedText text;
    private final int promptTokens;
    private final int requestedTokens;
    private final boolean streamed;
    private final boolean chat;
    private final int urgency;
    private final int runIndex;
    private int unreadPromptTokens;
    private int generatedTokens;

    Sequence(Exchange exchange, String model, String echoedModel, int runIndex) {
        this.exchange = exchange;
        this.model = model;
        this.echoedModel = echoedModel;
        this.runIndex = runIndex;
        final JsonNode body = exchange.json();
        final String prompt = GeneratedText.prompt(body);
        requestId = exchange.header("Crocushaven-Request-Id");
        text = GeneratedText.of(model, requestId, prompt);
        promptTokens = GeneratedText.promptTokens(prompt);
        requestedTokens = GeneratedText.requestedTokens(body);
        streamed = body.path("stream").asBoolean();
        chat = exchange.path().endsWith("/chat/completions");
        urgency = parseUrgency(exchange.header("Priority"));
        unreadPromptTokens = promptTokens;
    }

    Exchange exchange() {
        return exchange;
    }

    String model() {
        return model;
    }

    String requestId() {
        return requestId;
    }

    int urgency() {
        return urgency;
    }

    int runIndex() {
        return runIndex;
    }

    int unreadPromptTokens() {
        return unreadPromptTokens;
    }

    int generatedTokens() {
        return generatedTokens;
    }

    boolean finished() {
        return generatedTokens >= requestedTokens;
    }

    void beginAnswer() {
        if (streamed) {
            exchange.beginEvents(headers());
        }
    }

    /** Reads prompt tokens up to the given budget and returns the number read. */
    int readPrompt(int budget) {
        final int read = Math.min(budget, unreadPromptTokens);
        unreadPromptTokens -= read;
        return read;
    }

    /**
     * Generates one token, unless the answer is streamed and the peer does not read fast enough.
     */
    void generateToken() {
        if (streamed) {
            if (!exchange.writable()) {
                return;
            }
            exchange.event(chunk(text.token(generatedTokens), false));
        }
        generatedTokens++;
    }

    /** Ends the answer. */
    void endAnswer() {
        if (streamed) {
            exchange.event(chunk("", true));
            exchange.endEvents();
        } else {
            exchange.answer(200, headers(), wholeAnswer());
        }
    }

    private Map<String, String> headers() {
        return Map.of("Crocushaven-Adapter", echoedModel, "Crocushaven-Request-Id", requestId);
    }

    private Map<String, Object> wholeAnswer() {
        final String content = text.text(requestedTokens);
        final Map<String, Object> document = new LinkedHashMap<>();
        document.put("id", requestId);
        document.put("model", echoedModel);
        final Map<String, Object> choice =
                chat
                        ? Map.of("message", Map.of("role", "assistant", "content", content))
                        : Map.of("text", content);
        document.put("choices", List.of(choice));
        document.put("usage", usage());
        return document;
    }

    private Map<String, Object> chunk(String content, boolean last) {
        final Map<String, Object> document = new LinkedHashMap<>();
        document.put("id", requestId);
        document.put("model", echoedModel);
        document.put(
                "choices",
                List.of(
                        chat
                                ? Map.of("delta", Map.of("content", content))
                                : Map.of("text", content)));
        if (last) {
            document.put("usage", usage());
        }
        return document;
    }

    private Map<String, Integer> usage() {
        return Map.of(
                "prompt_tokens", promptTokens,
                "completion_tokens", requestedTokens,
                "total_tokens", promptTokens + requestedTokens);
    }

    private static int parseUrgency(String priority) {
        final int start = priority.indexOf("u=");
        return start >= 0 && start + 2 < priority.length()
                ? Character.digit(priority.charAt(start + 2), 10)
                : DEFAULT_URGENCY;
    }
}
