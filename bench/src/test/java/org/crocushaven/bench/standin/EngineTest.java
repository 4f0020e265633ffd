package org.crocushaven.bench.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EngineTest {
    private static final String COMPLETION =
            "{\"model\":\"a@1\",\"prompt\":\"how much wood\",\"max_tokens\":5%s}";

    private final Engine engine = Engine.start(settings(1, true));
    private final StandInClient client = new StandInClient(engine.port());

    @AfterEach
    void stop() {
        engine.close();
    }

    private static EngineSettings settings(int slots, boolean checksFencing) {
        return new EngineSettings(
                "e1",
                "model",
                "a",
                "127.0.0.1",
                0,
                List.of(),
                slots,
                4,
                checksFencing,
                Optional.empty(),
                5,
                new EngineSettings.StepSpeed(500, 0, 0));
    }

    private static String order(String adapter, long fencingNumber) {
        return "{\"adapter\":\"%s\",\"version\":\"1\",\"fencing_number\":%d}"
                .formatted(adapter, fencingNumber);
    }

    private HttpResponse<String> postCompletion(String extraFields) {
        return client.post(
                "/v1/completions",
                COMPLETION.formatted(extraFields),
                "Crocushaven-Request-Id",
                "r1");
    }

    private JsonNode log() throws Exception {
        return client.get("/standin/log");
    }

    @Nested
    class Generation {
        @Test
        void answersWithTheTextGeneratedForTheRequest() throws Exception {
            client.post("/orders/load", order("a", 1));
            final HttpResponse<String> response = postCompletion("");
            assertEquals(200, response.statusCode());
            assertEquals("a@1", response.headers().firstValue("Crocushaven-Adapter").orElse(""));
            final JsonNode answer = StandInClient.json(response);
            assertEquals(
                    GeneratedText.of("a@1", "r1", "how much wood").text(5),
                    answer.at("/choices/0/text").asText());
            assertEquals(5, answer.at("/usage/completion_tokens").asInt());
        }

        @Test
        void streamsOneEventPerTokenThenUsageThenDone() {
            client.post("/orders/load", order("a", 1));
            final List<String> lines =
                    postCompletion(",\"stream\":true")
                            .body()
                            .lines()
                            .filter(line -> !line.isEmpty())
                            .toList();
            assertEquals(7, lines.size());
            assertTrue(lines.get(5).contains("\"usage\""));
            assertEquals("data: [DONE]", lines.get(6));
        }

        @Test
        void refusesRequestForUnloadedAdapterWithoutRunningIt() throws Exception {
            final HttpResponse<String> response = postCompletion("");
            assertEquals(404, response.statusCode());
            assertEquals("adapter_not_loaded", StandInClient.json(response).get("error").asText());
            assertEquals(0, log().get("runs").size());
        }

        @Test
        void recordsCredentialAsViolation() throws Exception {
            client.post(
                    "/v1/completions",
                    "{\"model\":\"base\",\"prompt\":\"x\",\"max_tokens\":1}",
                    "Authorization",
                    "Bearer k");
            assertTrue(log().at("/runs/0/credential").asBoolean());
            assertEquals(1, log().get("violations").size());
        }
    }

    @Nested
    class Orders {
        @Test
        void refusesAnOldFencingNumber() {
            assertEquals(200, client.post("/orders/load", order("a", 7)).statusCode());
            assertEquals(409, client.post("/orders/unload", order("a", 6)).statusCode());
            assertEquals(200, client.post("/orders/unload", order("a", 7)).statusCode());
        }

        @Test
        void refusesLoadWithoutFreeSlot() {
            assertEquals(200, client.post("/orders/load", order("a", 1)).statusCode());
            assertEquals(507, client.post("/orders/load", order("b", 1)).statusCode());
        }

        @Test
        void refusesToUnloadRunningAdapterAndRecordsViolation() throws Exception {
            client.post("/orders/load", order("a", 1));
            client.post("/standin/faults", "{\"stall\":true}");
            final CompletableFuture<HttpResponse<String>> running =
                    client.postAsync("/v1/completions", COMPLETION.formatted(""));
            while (client.get("/status").get("running").asInt() == 0) {
                Thread.onSpinWait();
            }
            assertEquals(423, client.post("/orders/unload", order("a", 1)).statusCode());
            client.post("/standin/faults", "{}");
            assertEquals(200, running.join().statusCode());
            assertEquals("unload_while_running adapter=a@1", log().at("/violations/0").asText());
        }
    }

    @Nested
    class Faults {
        @Test
        void closesConnectionOfStreamAfterConfiguredTokens() {
            client.post("/orders/load", order("a", 1));
            client.post("/standin/faults", "{\"cut_after_tokens\":2}");
            assertThrows(CompletionException.class, () -> postCompletion(",\"stream\":true"));
        }

        @Test
        void answersLoadWithErrorWhenLoadsFail() throws Exception {
            client.post("/standin/faults", "{\"fail_loads\":true}");
            assertEquals(503, client.post("/orders/load", order("a", 1)).statusCode());
            assertFalse(client.get("/status").get("loaded").elements().hasNext());
        }

        @Test
        void closesConnectionOfCancelledRequest() throws Exception {
            client.post("/orders/load", order("a", 1));
            client.post("/standin/faults", "{\"stall\":true}");
            final CompletableFuture<HttpResponse<String>> running =
                    client.postAsync(
                            "/v1/completions",
                            COMPLETION.formatted(""),
                            "Crocushaven-Request-Id",
                            "r9");
            while (client.get("/status").get("running").asInt() == 0) {
                Thread.onSpinWait();
            }
            client.post("/orders/cancel", "{\"request\":\"r9\"}");
            assertThrows(CompletionException.class, running::join);
            assertEquals("cancelled", log().at("/runs/0/outcome").asText());
        }
    }
}
