package org.crocushaven.bench.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;

/** Sends requests to a stand-in on loopback. */
final class StandInClient {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpClient client = HttpClient.newHttpClient();
    private final int port;

    StandInClient(int port) {
        this.port = port;
    }

    HttpResponse<String> post(String path, String body, String... headers) {
        return postAsync(path, body, headers).join();
    }

    CompletableFuture<HttpResponse<String>> postAsync(String path, String body, String... headers) {
        final HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                        .POST(HttpRequest.BodyPublishers.ofString(body));
        if (headers.length > 0) {
            request.headers(headers);
        }
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    JsonNode get(String path) throws Exception {
        final HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path)).build();
        return MAPPER.readTree(client.send(request, HttpResponse.BodyHandlers.ofString()).body());
    }

    static JsonNode json(HttpResponse<String> response) throws Exception {
        return MAPPER.readTree(response.body());
    }
}
