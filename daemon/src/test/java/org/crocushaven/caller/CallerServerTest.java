package org.crocushaven.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.NanoClock;
import org.agrona.concurrent.SystemNanoClock;
import org.approvaltests.Approvals;
import org.crocushaven.configuration.KeyHash;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.crocushaven.settings.CallerLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class CallerServerTest {
    private static final CallerLimits LIMITS =
            new CallerLimits(4, 2_000, 2_000, 20_000, 20_000, 60_000, 1_000);
    private static final CallerLimits SHORT_TIMEOUTS =
            new CallerLimits(4, 2_000, 2_000, 400, 500, 60_000, 1_000);
    private static final String CHAT_BODY =
            "{\"model\":\"dyzur@2\",\"messages\":[{\"role\":\"user\",\"content\":\"Dzień dobry\"}],"
                    + "\"max_tokens\":7}";

    private final BlockingQueue<Served> served = new LinkedBlockingQueue<>();
    private final StringBuilder session = new StringBuilder();
    private NanoClock clock = SystemNanoClock.INSTANCE;
    private EventLoopGroup group;
    private CallerServer server;
    private CallerHandler handler =
            (request, response) -> served.add(new Served(request, response));

    @BeforeEach
    void start() {
        group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
        listen(LIMITS);
    }

    private void listen(CallerLimits limits) {
        server =
                CallerServer.start(
                        group,
                        new InetSocketAddress("127.0.0.1", 0),
                        new CallerEnvironment(
                                "i1",
                                limits,
                                clock,
                                () -> 0L,
                                (request, response) -> handler.handle(request, response),
                                key -> List.of("baza", "dyzur@2"),
                                FixedBytesPerToken.defaults(),
                                CallerObserver.NONE));
    }

    @AfterEach
    void stop() {
        server.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void restart(CallerLimits limits) {
        server.close();
        listen(limits);
    }

    private RawCaller connect() {
        return RawCaller.connect(server.address());
    }

    private Served next() throws InterruptedException {
        final Served next = served.poll(10, TimeUnit.SECONDS);
        assertTrue(next != null, "no request reached the handler");
        return next;
    }

    /** Sends a request on a new connection and appends request and answer to the session. */
    private void exchange(String title, String request) {
        try (RawCaller caller = connect()) {
            final String answer = caller.send(request).readAnswer();
            session.append("=== ").append(title).append('\n');
            session.append(request.replace("\r", "").indent(2));
            session.append("---\n").append(answer.replace("\r", "")).append("\n\n");
        }
    }

    private static String post(String path, String headers, String body) {
        return "POST "
                + path
                + " HTTP/1.1\r\nHost: x\r\n"
                + headers
                + "Content-Length: "
                + body.getBytes(StandardCharsets.UTF_8).length
                + "\r\n\r\n"
                + body;
    }

    private static String chat(String headers, String body) {
        return post("/v1/chat/completions", "Content-Type: application/json\r\n" + headers, body);
    }

    private static String get(String path, String headers) {
        return "GET " + path + " HTTP/1.1\r\nHost: x\r\n" + headers + "\r\n";
    }

    private record Served(CallerRequest request, CallerResponse response) {
        void answer(String text) {
            final byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            response.begin(
                    200,
                    Map.of(
                            "content-type", List.of("application/json"),
                            "content-length", List.of(Integer.toString(bytes.length))));
            response.write(bytes);
            response.end();
        }
    }

    @Nested
    class Parsing {
        @Test
        void parsesAllFieldsOfGenerationRequests() throws Exception {
            try (RawCaller caller = connect()) {
                final String headers =
                        "Authorization: Bearer tajny-klucz\r\nIdempotency-Key: k-1\r\n"
                                + "Crocushaven-Deadline-Millis: 5000\r\nPriority: u=1, i\r\n"
                                + "Crocushaven-Request-Id: moje\r\nCookie: a=b\r\nX-Api-Key: s\r\n";
                caller.send(chat(headers, CHAT_BODY));
                final CallerRequest request = next().request();
                assertEquals("moje-i1-0-1", request.requestId());
                assertEquals(CallerRequest.Kind.ENGINE, request.kind());
                assertEquals("dyzur@2", request.target());
                assertEquals("/v1/chat/completions", request.path());
                assertEquals(
                        Map.of("content-type", List.of("application/json")), request.headers());
                assertEquals(CHAT_BODY, new String(request.body(), StandardCharsets.UTF_8));
                assertEquals((4 + 12 + 3) / 4, request.promptTokens());
                assertEquals(7, request.maximumOutputTokens());
                assertEquals(1, request.urgency());
                assertEquals(Optional.of("k-1"), request.idempotencyKey());
                assertEquals(Optional.of(KeyHash.ofKey("tajny-klucz")), request.key());
            }
        }

        @Test
        void addsDefaultMaximumOutputTokensIfMissing() throws Exception {
            try (RawCaller caller = connect()) {
                caller.send(
                        post("/v1/completions", "", "{\"model\":\"baza\",\"prompt\":\"abcde\"}"));
                final CallerRequest request = next().request();
                assertEquals(256, request.maximumOutputTokens());
                assertEquals(2, request.promptTokens());
                assertEquals(
                        "{\"max_tokens\":256,\"model\":\"baza\",\"prompt\":\"abcde\"}",
                        new String(request.body(), StandardCharsets.UTF_8));
            }
        }

        @Test
        void parsesMethodPathAndQueryOfPlainServiceRequests() throws Exception {
            try (RawCaller caller = connect()) {
                caller.send(get("/services/rezerwacje/sloty/7?dzien=1", ""));
                final CallerRequest request = next().request();
                assertEquals(CallerRequest.Kind.PLAIN, request.kind());
                assertEquals("rezerwacje", request.target());
                assertEquals("GET", request.method());
                assertEquals("/sloty/7?dzien=1", request.path());
            }
        }
    }

    @Nested
    class Refusals {
        @Test
        void invalidRequestsAreAnsweredWithProblemDetails() {
            final String auth = "Authorization: ";
            exchange("unknown route", get("/nowhere", ""));
            exchange("wrong method", get("/v1/completions", ""));
            exchange("content type", post("/v1/completions", "Content-Type: text/xml\r\n", "{}"));
            exchange("not JSON", chat("", "{\"model\":"));
            exchange("model missing", chat("", "{\"messages\":[]}"));
            exchange("field twice", chat("", "{\"model\":\"a\",\"model\":\"b\",\"messages\":[]}"));
            exchange(
                    "text after the JSON object", chat("", "{\"model\":\"a\",\"messages\":[]} {}"));
            exchange(
                    "invalid max_tokens",
                    chat("", "{\"model\":\"a\",\"messages\":[],\"max_tokens\":-1}"));
            exchange("two keys", chat(auth + "Bearer a\r\n" + auth + "Bearer b\r\n", CHAT_BODY));
            exchange("malformed key", chat(auth + "Basic YTpi\r\n", CHAT_BODY));
            exchange("empty key", chat(auth + "Bearer \r\n", CHAT_BODY));
            exchange(
                    "key in the query",
                    get("/services/s/x?key=sekretny-klucz", auth + "Bearer sekretny-klucz\r\n"));
            exchange("length is no number", get("/v1/models", "Content-Length: ten\r\n"));
            exchange("bad header name", chat("X A: b\r\n", CHAT_BODY));
            exchange("other encoding", get("/v1/models", "Transfer-Encoding: gzip\r\n"));
            exchange("two lengths", chat("Content-Length: 3\r\n", CHAT_BODY));
            exchange("length and chunks", chat("Transfer-Encoding: chunked\r\n", CHAT_BODY));
            exchange("two hosts", get("/v1/models", "Host: y\r\n"));
            exchange("no host", "GET /v1/models HTTP/1.1\r\n\r\n");
            exchange("old version", "GET /v1/models HTTP/1.0\r\nHost: x\r\n\r\n");
            exchange("not HTTP", "hello\r\n\r\n");
            exchange("long headers", get("/v1/models", "X-Long: " + "a".repeat(2_100) + "\r\n"));
            exchange("long body", chat("", "\"" + "a".repeat(2_000) + "\""));
            exchange("bad deadline", chat("Crocushaven-Deadline-Millis: soon\r\n", CHAT_BODY));
            exchange("bad idempotency key", chat("Idempotency-Key: a b\r\n", CHAT_BODY));
            exchange("bad request id", chat("Crocushaven-Request-Id: a/b\r\n", CHAT_BODY));
            exchange("dot segments", get("/services/s/open/%2e%2e/closed", ""));
            exchange("incomplete body", chat("", CHAT_BODY.replace("}]", "")));
            assertTrue(served.isEmpty());
            Approvals.verify(session);
        }

        @Test
        void handlerRefusalsContainRetryDelayAndFaultsHideDetails() {
            handler =
                    (request, response) ->
                            response.refuse(
                                    ResultException.of(ResultCode.RATE_EXCEEDED, "las", 12)
                                            .withRetryAfter(Duration.ofMillis(1_420)));
            exchange("rate", chat("", CHAT_BODY));
            handler =
                    (request, response) -> {
                        throw new IllegalStateException("secret detail");
                    };
            exchange("fault", chat("", CHAT_BODY));
            Approvals.verify(session);
        }
    }

    @Nested
    class Connections {
        @Test
        void stayOpenAfterRequestsWithSmallBodiesAreRefused() throws Exception {
            try (RawCaller caller = connect()) {
                caller.send(post("/nowhere", "", "dropped"));
                assertTrue(caller.readAnswer().startsWith("HTTP/1.1 404"));
                caller.send(chat("", CHAT_BODY));
                next().answer("{}");
                assertTrue(caller.readAnswer().endsWith("\r\n\r\n{}"));
            }
        }

        @Test
        void answerPipelinedRequestsOneByOneInOrder() throws Exception {
            try (RawCaller caller = connect()) {
                caller.send(chat("", CHAT_BODY) + get("/v1/models", "") + chat("", CHAT_BODY));
                final Served first = next();
                assertTrue(served.isEmpty());
                first.answer("\"first\"");
                assertTrue(caller.readAnswer().endsWith("\"first\""));
                assertTrue(caller.readAnswer().contains("\"id\":\"dyzur@2\""));
                next().answer("\"third\"");
                assertTrue(caller.readAnswer().endsWith("\"third\""));
            }
        }

        @Test
        void beyondTheMaximumAreRefusedImmediately() {
            try (RawCaller first = connect();
                    RawCaller second = connect();
                    RawCaller third = connect();
                    RawCaller fourth = connect()) {
                for (final RawCaller caller : List.of(first, second, third, fourth)) {
                    caller.send(get("/v1/models", ""));
                    assertTrue(caller.readAnswer().startsWith("HTTP/1.1 200"));
                }
                try (RawCaller fifth = connect()) {
                    final String answer = fifth.readToEnd();
                    assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
                    assertTrue(answer.contains("\"code\":1009"), answer);
                }
            }
        }

        @Test
        void notifyTheHandlerWhenTheCallerDisconnects() throws Exception {
            final CompletableFuture<Void> gone = new CompletableFuture<>();
            try (RawCaller caller = connect()) {
                caller.send(chat("", CHAT_BODY));
                next().response().onCallerGone(() -> gone.complete(null));
            }
            gone.get(10, TimeUnit.SECONDS);
        }
    }

    @Nested
    class Streams {
        private final Map<String, List<String>> eventStream =
                Map.of("content-type", List.of("text/event-stream"));

        @Test
        void eachPartIsSentWithoutWaitingForTheNext() throws Exception {
            try (RawCaller caller = connect()) {
                caller.send(chat("", CHAT_BODY.replace("}]", "}],\"stream\":true")));
                final Served stream = next();
                assertTrue(stream.request().stream());
                stream.response().begin(200, eventStream);
                stream.response().write("data: 1\n\n".getBytes(StandardCharsets.UTF_8));
                session.append(caller.readUntil("data: 1\n\n\r\n"));
                stream.response().write("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
                stream.response().end();
                session.append(caller.readUntil("\r\n0\r\n\r\n"));
                Approvals.verify(session.toString().replace("\r\n", "\\r\\n\n"));
            }
        }

        @Test
        void failuresAfterTheHeadAreSentAsErrorEvents() throws Exception {
            try (RawCaller caller = connect()) {
                caller.send(chat("", CHAT_BODY));
                final Served stream = next();
                stream.response().begin(200, eventStream);
                stream.response().write("data: 1\n".getBytes(StandardCharsets.UTF_8));
                stream.response().refuse(ResultException.of(ResultCode.ANSWER_INCOMPLETE, "e1"));
                session.append(caller.readUntil("\r\n0\r\n\r\n"));
                Approvals.verify(session.toString().replace("\r\n", "\\r\\n\n"));
            }
        }

        @Test
        void failedAnswersWithContentLengthCloseTheConnection() throws Exception {
            try (RawCaller caller = connect()) {
                caller.send(chat("", CHAT_BODY));
                final Served plain = next();
                plain.response().begin(200, Map.of("content-length", List.of("10")));
                plain.response().write("12345".getBytes(StandardCharsets.UTF_8));
                plain.response().refuse(ResultException.of(ResultCode.ANSWER_INCOMPLETE, "e1"));
                assertTrue(caller.readToEnd().endsWith("\r\n\r\n12345"));
            }
        }
    }

    @Nested
    class SlowCallers {
        @Test
        void incompleteBodiesAreRefusedAfterTheReceiveTimeout() {
            restart(SHORT_TIMEOUTS);
            try (RawCaller caller = connect()) {
                final String half = chat("", CHAT_BODY).substring(0, 150);
                final String answer = caller.send(half).readToEnd();
                assertTrue(answer.startsWith("HTTP/1.1 408"), answer);
                assertTrue(answer.contains("\"code\":1008"), answer);
            }
        }

        @Test
        void incompleteHeadsAreRefusedAfterTheReceiveTimeout() {
            restart(SHORT_TIMEOUTS);
            try (RawCaller caller = connect()) {
                final String answer = caller.send("GET /v1/mod").readToEnd();
                assertTrue(answer.contains("\"code\":1008"), answer);
            }
        }

        @Test
        void callersThatDoNotReadBlockWritesAndAreDisconnected() throws Exception {
            restart(SHORT_TIMEOUTS);
            final BlockingQueue<String> events = new LinkedBlockingQueue<>();
            try (RawCaller caller = connect()) {
                caller.send(chat("", CHAT_BODY));
                final CallerResponse response = next().response();
                response.onCallerGone(() -> events.add("gone"));
                response.onWritable(() -> events.add("writable"));
                response.begin(200, Map.of());
                String event = "writable";
                while ("writable".equals(event)) {
                    while (response.isWritable()) {
                        response.write(new byte[16 << 10]);
                    }
                    event = events.poll(10, TimeUnit.SECONDS);
                }
                assertEquals("gone", event);
            }
        }

        @Test
        void callersThatReadAgainMakeTheResponseWritable() throws Exception {
            try (RawCaller caller = connect()) {
                caller.send(chat("", CHAT_BODY));
                final CallerResponse response = next().response();
                final BlockingQueue<String> writable = new LinkedBlockingQueue<>();
                response.onWritable(() -> writable.add("again"));
                response.begin(200, Map.of());
                while (response.isWritable()) {
                    response.write(new byte[16 << 10]);
                }
                caller.readUntil("\r\n\r\n");
                final CompletableFuture<String> rest =
                        CompletableFuture.supplyAsync(caller::readToEnd);
                assertEquals("again", writable.poll(10, TimeUnit.SECONDS));
                assertTrue(response.isWritable());
                response.end();
                server.stopAccepting();
                assertTrue(rest.get(10, TimeUnit.SECONDS).endsWith("0\r\n\r\n"));
            }
        }
    }

    @Nested
    class Stopping {
        @Test
        void finishesRequestsBeforeClosingConnections() throws Exception {
            try (RawCaller caller = connect()) {
                caller.send(chat("", CHAT_BODY));
                final Served last = next();
                server.stopAccepting();
                final CompletableFuture<Void> idle = server.whenIdle();
                assertFalse(idle.isDone());
                last.answer("{}");
                final String answer = caller.readToEnd();
                assertTrue(answer.contains("connection: close"), answer);
                assertTrue(answer.endsWith("{}"), answer);
                idle.get(10, TimeUnit.SECONDS);
            }
        }

        @Test
        void requestLeftAtTheEndOfTheGracePeriodIsAnswered() throws Exception {
            try (RawCaller caller = connect()) {
                caller.send(chat("", CHAT_BODY));
                next();

                server.close();

                final String answer = caller.readToEnd();
                assertTrue(answer.startsWith("HTTP/1.1 50"), "received: " + answer);
            }
        }

        @Test
        void requestWhoseBodyHasNotArrivedIsRefusedAsNotRun() throws Exception {
            try (RawCaller caller = connect()) {
                final String whole = chat("", CHAT_BODY);
                caller.send(whole.substring(0, whole.length() - 5));
                while (server.reservedBodyBytes() == 0) {
                    Thread.onSpinWait();
                }

                server.close();

                final String answer = caller.readToEnd();
                assertTrue(answer.startsWith("HTTP/1.1 503"), "received: " + answer);
                assertTrue(answer.contains("not-run"), "received: " + answer);
            }
        }

        @Test
        void servesOpenConnectionsDuringTheGracePeriod() throws Exception {
            try (RawCaller caller = connect()) {
                caller.send(get("/v1/models", ""));
                caller.readAnswer();
                server.stopAccepting();
                caller.send(get("/v1/models", ""));
                assertTrue(caller.readToEnd().contains("connection: close"));
                server.whenIdle().get(10, TimeUnit.SECONDS);
            }
        }
    }

    @Nested
    class TimeoutChecks {
        private final CountDownLatch checks = new CountDownLatch(2);

        private long timeOfFailingFirstCheck() {
            final boolean inCheck =
                    StackWalker.getInstance()
                            .walk(
                                    frames ->
                                            frames.anyMatch(
                                                    frame ->
                                                            frame.getMethodName()
                                                                    .equals("checkTimeouts")));
            if (inCheck) {
                checks.countDown();
                if (checks.getCount() > 0) {
                    throw new IllegalStateException("injected");
                }
            }
            return System.nanoTime();
        }

        @Test
        void goOnAfterOneThatThrows() throws InterruptedException {
            clock = this::timeOfFailingFirstCheck;
            restart(LIMITS);

            assertTrue(checks.await(10, TimeUnit.SECONDS), "no second check");
        }
    }
}
