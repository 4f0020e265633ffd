package org.crocushaven.bench.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.crocushaven.configuration.Change;
import org.crocushaven.configuration.ConfigurationMappers;
import org.crocushaven.configuration.NumberedChange;

/** Speaks to the operator ports of instances. */
public final class OperatorClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final String ROOT = "/operator/v1/";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpClient client =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(TIMEOUT)
                    .build();
    private final String key;

    private final Duration timeout;

    private OperatorClient(String key, Duration timeout) {
        this.key = key;
        this.timeout = timeout;
    }

    /** Returns a client that presents the given operator key. */
    public static OperatorClient withKey(String key) {
        return new OperatorClient(key, TIMEOUT);
    }

    /** Returns a client for operations whose answers may take longer than those of changes. */
    public OperatorClient withTimeout(Duration answerTimeout) {
        return new OperatorClient(key, answerTimeout);
    }

    /** Sends a change and returns its answer, whatever it says. */
    public Answer submit(String address, String operator, long number, Change change)
            throws IOException, InterruptedException {
        final String body =
                ConfigurationMappers.json()
                        .writeValueAsString(new NumberedChange(operator, number, change));
        return post(address, "changes", body);
    }

    /** Sends an operation such as {@code voters/i1/add}. */
    public Answer post(String address, String path, String body)
            throws IOException, InterruptedException {
        return send(
                request(address, path)
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build());
    }

    /** Returns a view such as {@code status}. */
    public Answer get(String address, String path) throws IOException, InterruptedException {
        return send(request(address, path).build());
    }

    private HttpRequest.Builder request(String address, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + address + ROOT + path))
                .timeout(timeout)
                .header("Authorization", "Bearer " + key);
    }

    private Answer send(HttpRequest request) throws IOException, InterruptedException {
        final HttpResponse<String> response =
                client.send(request, HttpResponse.BodyHandlers.ofString());
        return new Answer(response.statusCode(), MAPPER.readTree(response.body()));
    }

    /**
     * An operator's answer.
     *
     * @param status HTTP status
     * @param document the JSON document
     */
    public record Answer(int status, JsonNode document) {
        private static final int OK_STATUS = 200;

        /** Says whether the answer is a success. */
        public boolean accepted() {
            return status == OK_STATUS;
        }

        /** Returns the result code of a refusal, or 0. */
        public int code() {
            return document.path("code").asInt();
        }
    }
}
