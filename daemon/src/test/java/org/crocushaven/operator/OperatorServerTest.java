package org.crocushaven.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.IntStream;
import org.crocushaven.configuration.Adapter;
import org.crocushaven.configuration.Change;
import org.crocushaven.configuration.ConfigurationMappers;
import org.crocushaven.configuration.DrainBackendServer;
import org.crocushaven.configuration.GrantKey;
import org.crocushaven.configuration.KeyHash;
import org.crocushaven.configuration.NumberedChange;
import org.crocushaven.configuration.Organisation;
import org.crocushaven.configuration.PublishServices;
import org.crocushaven.configuration.Service;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class OperatorServerTest {
    private final FakeControlPlane plane = new FakeControlPlane();
    private final HttpClient client = HttpClient.newHttpClient();
    private MultiThreadIoEventLoopGroup group;
    private OperatorServer server;

    @BeforeEach
    void start() {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        server =
                OperatorServer.start(
                        group, new InetSocketAddress("127.0.0.1", 0), plane.environment());
    }

    @AfterEach
    void stop() {
        server.close();
        group.shutdownGracefully();
    }

    private HttpRequest.Builder requestTo(String path) {
        return HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + server.address().getPort() + path));
    }

    private HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
        return client.send(request.build(), BodyHandlers.ofString());
    }

    private HttpResponse<String> get(String path) throws Exception {
        return send(requestTo(path).header("Authorization", "Bearer operator-key"));
    }

    private HttpResponse<String> post(String path, String body) throws Exception {
        return send(
                requestTo(path)
                        .header("Authorization", "Bearer operator-key")
                        .POST(BodyPublishers.ofString(body)));
    }

    private HttpResponse<String> change(String operator, long number, Change change)
            throws Exception {
        return post(
                "/operator/v1/changes",
                ConfigurationMappers.json()
                        .writeValueAsString(new NumberedChange(operator, number, change)));
    }

    private static int code(HttpResponse<String> response) throws IOException {
        return json(response).get("code").asInt();
    }

    private static JsonNode json(HttpResponse<String> response) throws IOException {
        return ConfigurationMappers.json().readTree(response.body());
    }

    private static PublishServices publication(int adapters) {
        return new PublishServices(
                "main",
                List.of(
                        new Service(
                                "chat", Service.Kind.ENGINE, "base", false, List.of(), List.of())),
                List.of(new Organisation("o", 100, 1_000, 1)),
                IntStream.range(0, adapters)
                        .mapToObj(
                                number ->
                                        new Adapter(
                                                "notes-" + number,
                                                "chat",
                                                List.of("1", "2"),
                                                "2",
                                                List.of("o")))
                        .toList());
    }

    @Nested
    class PlatformRequests {
        @Test
        void areAnsweredWithoutKey() throws Exception {
            assertEquals(200, send(requestTo("/live")).statusCode());
            assertEquals(200, send(requestTo("/ready")).statusCode());
            assertEquals("crocushaven_revision 0.0\n", send(requestTo("/metrics")).body());
        }

        @Test
        void reportWhyInstanceIsNotReady() throws Exception {
            plane.notReady("draining");

            final HttpResponse<String> response = send(requestTo("/ready"));

            assertEquals(503, response.statusCode());
            assertEquals(1602, code(response));
            assertTrue(response.body().contains("draining"));
        }

        @Test
        void mayNotHaveBodies() throws Exception {
            final HttpResponse<String> response =
                    send(requestTo("/live").POST(BodyPublishers.ofString("body")));

            assertEquals(1002, code(response));
        }
    }

    @Nested
    class Key {
        @Test
        void isNeededForOperatorPaths() throws Exception {
            final HttpResponse<String> response = send(requestTo("/operator/v1/status"));

            assertEquals(401, response.statusCode());
            assertEquals(2001, code(response));
            assertEquals("not-run", json(response).get("execution").asText());
        }

        @Test
        void isRefusedWhenWrongOrSentTwice() throws Exception {
            final HttpRequest.Builder wrong =
                    requestTo("/operator/v1/status").header("Authorization", "Bearer other");
            final HttpRequest.Builder doubled =
                    requestTo("/operator/v1/status")
                            .header("Authorization", "Bearer operator-key")
                            .header("Authorization", "Bearer operator-key");

            assertEquals(401, send(wrong).statusCode());
            assertEquals(401, send(doubled).statusCode());
        }

        @Test
        void isNeededForEverySpellingOfOperatorPaths() throws Exception {
            final List<String> paths =
                    List.of(
                            "/%6Fperator/v1/status",
                            "/operator%2Fv1/status",
                            "//operator/v1/status",
                            "/live/../operator/v1/status",
                            "/live;/operator/v1/status");
            for (final String path : paths) {
                assertEquals(401, send(requestTo(path)).statusCode(), path);
            }
        }

        @Test
        void isCheckedBeforeTheBodyArrives() throws Exception {
            try (Socket socket = new Socket("127.0.0.1", server.address().getPort())) {
                final String head =
                        "POST /operator/v1/changes HTTP/1.1\r\nHost: a\r\n"
                                + "Content-Length: 60000000\r\n\r\n";
                socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));

                assertTrue(read(socket).startsWith("HTTP/1.1 401 "));
            }
        }

        private String read(Socket socket) throws IOException {
            final InputStream input = socket.getInputStream();
            return new String(input.readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    @Nested
    class Connections {
        @Test
        void areClosedAfterBytesThatAreNotHttp() throws Exception {
            final String answer = exchange("NOT HTTP AT ALL\r\n\r\n");

            assertTrue(answer.startsWith("HTTP/1.1 400 "), answer);
            assertTrue(answer.contains("\"code\":1001"), answer);
        }

        @Test
        void areClosedAfterConflictingContentLengths() throws Exception {
            final String answer =
                    exchange(
                            "POST /operator/v1/changes HTTP/1.1\r\nHost: a\r\n"
                                    + "Authorization: Bearer operator-key\r\n"
                                    + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}");

            assertTrue(answer.startsWith("HTTP/1.1 400 "), answer);
        }

        @Test
        void answerPipelinedRequestsInOrder() throws Exception {
            final String head = " HTTP/1.1\r\nHost: a\r\n";
            final String answer =
                    exchange(
                            "GET /live"
                                    + head
                                    + "\r\nGET /metrics"
                                    + head
                                    + "\r\nGET /ready"
                                    + head
                                    + "Connection: close\r\n\r\n");

            final int live = answer.indexOf("\"live\"");
            final int metrics = answer.indexOf("crocushaven_revision");
            final int ready = answer.indexOf("\"ready\"");
            assertTrue(live > 0 && live < metrics && metrics < ready, answer);
        }

        private String exchange(String request) throws IOException {
            try (Socket socket = new Socket("127.0.0.1", server.address().getPort())) {
                socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
                return new String(
                        socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            }
        }
    }

    @Nested
    class Changes {
        @Test
        void areAnsweredWithTheRevision() throws Exception {
            final HttpResponse<String> response = change("anna", 1, publication(1));

            assertEquals(200, response.statusCode());
            assertEquals(1, json(response).get("revision").asLong());
        }

        @Test
        void areAnsweredAsBeforeWhenSentAgain() throws Exception {
            plane.loseNextAnswer();

            assertEquals(2005, code(change("anna", 1, publication(1))));
            assertEquals(1, json(change("anna", 1, publication(1))).get("revision").asLong());
            assertEquals(1, plane.configuration().revision());
        }

        @Test
        void areRefusedWhenTheNumberWasUsedForOtherContent() throws Exception {
            change("anna", 1, publication(1));

            final HttpResponse<String> response = change("anna", 1, publication(2));

            assertEquals(409, response.statusCode());
            assertEquals(2003, code(response));
        }

        @Test
        void areRefusedWhenMalformed() throws Exception {
            final List<String> bodies =
                    List.of(
                            "",
                            "{",
                            "null",
                            "{\"operator\":null,\"number\":1,\"change\":null}",
                            "{\"operator\":\"a\",\"number\":1,\"change\":{\"type\":\"publish\","
                                    + "\"publisher\":\"p\",\"services\":[null],"
                                    + "\"organisations\":[],\"adapters\":[]}}",
                            "{\"operator\":\"a\",\"number\":1}",
                            "{\"operator\":\"a\",\"number\":1,\"change\":{\"type\":\"x\"}}",
                            "{\"operator\":\"a\",\"number\":1,\"extra\":1,\"change\":"
                                    + "{\"type\":\"drain-backend-server\",\"name\":\"e1\"}}");
            for (final String body : bodies) {
                assertEquals(1001, code(post("/operator/v1/changes", body)), body);
            }
            assertEquals(0, plane.configuration().revision());
        }

        @Test
        void mayPublishThirtyNineThousandAdapters() throws Exception {
            assertEquals(200, change("anna", 1, publication(39_000)).statusCode());
            assertEquals(39_000, plane.configuration().adapters().size());
        }
    }

    @Nested
    class ViewsOfTheFleet {
        @Test
        void showKeysByIdentifierOnly() throws Exception {
            final KeyHash hash = KeyHash.ofKey("caller-key");
            change("anna", 1, publication(1));
            change("anna", 2, new GrantKey(hash, "o", "desk"));

            final HttpResponse<String> response = get("/operator/v1/keys");

            assertEquals(hash.identifier(), json(response).get(0).get("identifier").asText());
            assertFalse(response.body().contains(hash.hex()));
        }

        @Test
        void showDrainedBackendServers() throws Exception {
            change("anna", 1, new DrainBackendServer("e1"));

            assertEquals(
                    "drained", json(get("/operator/v1/backends")).get(0).get("state").asText());
        }

        @Test
        void pageAdapters() throws Exception {
            change("anna", 1, publication(30));

            final JsonNode page = json(get("/operator/v1/adapters?prefix=notes-1&limit=3"));

            assertEquals(11, page.get("total").asInt());
            assertEquals(3, page.get("adapters").size());
            assertEquals(1001, code(get("/operator/v1/adapters?limit=0")));
            assertEquals(1001, code(get("/operator/v1/adapters?limit=1&limit=2")));
        }

        @Test
        void explainOnlyKnownRequests() throws Exception {
            assertEquals(1, json(get("/operator/v1/explain/a1-7")).get("decisions").size());
            assertEquals(2011, code(get("/operator/v1/explain/nothing")));
        }
    }

    @Nested
    class Routes {
        @Test
        void thatDoNotExistAreUnknown() throws Exception {
            assertEquals(1005, code(get("/operator/v2/status")));
            assertEquals(1005, code(get("/operator/v1/voters/a1/promote")));
        }

        @Test
        void nameTheMethodsTheyAllow() throws Exception {
            final HttpResponse<String> response = post("/operator/v1/status", "");

            assertEquals(405, response.statusCode());
            assertTrue(response.body().contains("allowed: GET"));
        }

        @Test
        void ofOperationsReturnRefusals() throws Exception {
            assertEquals(200, post("/operator/v1/voters/a1/add", "").statusCode());
            assertEquals(2010, code(post("/operator/v1/voters/x9/remove", "")));
            assertEquals(2010, code(post("/operator/v1/instances/x9/drain", "")));
        }
    }
}
