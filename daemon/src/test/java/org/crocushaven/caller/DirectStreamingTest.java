package org.crocushaven.caller;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.SystemNanoClock;
import org.crocushaven.backend.BackendCall;
import org.crocushaven.backend.BackendClientLimits;
import org.crocushaven.backend.BackendListener;
import org.crocushaven.backend.BackendRequest;
import org.crocushaven.backend.HttpBackendClient;
import org.crocushaven.backend.ScriptedServer;
import org.crocushaven.result.ResultException;
import org.crocushaven.settings.CallerLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests streaming with {@link CallerServer} connected directly to {@link HttpBackendClient}. */
class DirectStreamingTest {
    private static final CallerLimits LIMITS =
            new CallerLimits(4, 2_000, 2_000, 20_000, 1_000, 60_000, 1_000);
    private static final String BODY =
            "{\"model\":\"baza\",\"messages\":[],\"max_tokens\":7,\"stream\":true}";
    private static final String REQUEST =
            "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer sekretny\r\n"
                    + "Cookie: sekretny=1\r\nX-Api-Key: sekretny\r\nContent-Length: "
                    + BODY.length()
                    + "\r\n\r\n"
                    + BODY;
    private static final String HEAD =
            "HTTP/1.1 200 OK\r\nCrocushaven-Adapter: baza\r\n"
                    + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

    /** Upper bound for what fits into the buffers of the four sockets on the path. */
    private static final long MAXIMUM_BUFFERED_BYTES = 48L << 20;

    private EventLoopGroup group;
    private HttpBackendClient client;
    private ScriptedServer engine;
    private CallerServer server;
    private volatile BackendCall currentCall;

    @BeforeEach
    void start() {
        group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
        client = HttpBackendClient.of(group, BackendClientLimits.defaults());
        engine = ScriptedServer.start();
        server =
                CallerServer.start(
                        group,
                        new InetSocketAddress("127.0.0.1", 0),
                        new CallerEnvironment(
                                "i1",
                                LIMITS,
                                SystemNanoClock.INSTANCE,
                                () -> 0L,
                                this::forward,
                                key -> List.of(),
                                FixedBytesPerToken.defaults(),
                                CallerObserver.NONE));
    }

    @AfterEach
    void stop() {
        server.close();
        client.close();
        engine.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void sendsEachTokenImmediatelyAndWithholdsCredentialsFromTheEngine() throws Exception {
        try (RawCaller caller = RawCaller.connect(server.address())) {
            caller.send(REQUEST);
            final ScriptedServer.Received request = engine.next();
            assertTrue(!request.text().contains("sekretny"), request.text());
            request.answer(HEAD + "9\r\ndata: 1\n\n\r\n");
            caller.readUntil("data: 1\n\n\r\n");
            request.answer("9\r\ndata: 2\n\n\r\n");
            caller.readUntil("data: 2\n\n\r\n");
            request.answer("e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n");
            caller.readUntil("data: [DONE]\n\n\r\n0\r\n\r\n");
        }
    }

    @Test
    void callerThatDoesNotReadCancelsTheEngineRequestBeforeTheBufferLimit() throws Exception {
        try (RawCaller caller = RawCaller.connect(server.address())) {
            caller.send(REQUEST);
            final ScriptedServer.Received request = engine.next();
            request.answer(HEAD);
            final byte[] chunk = ("10000\r\n" + "x".repeat(65_536) + "\r\n").getBytes();
            long sent = 0;
            try {
                while (sent < MAXIMUM_BUFFERED_BYTES) {
                    request.socket().getOutputStream().write(chunk);
                    sent += chunk.length;
                }
            } catch (IOException closed) {
                assertTrue(engine.next().text().startsWith("POST /orders/cancel"));
            }
            assertTrue(sent < MAXIMUM_BUFFERED_BYTES, "the engine could send " + sent + " bytes");
        }
    }

    @Test
    void disconnectOfTheCallerCancelsTheEngineRequest() throws Exception {
        try (RawCaller caller = RawCaller.connect(server.address())) {
            caller.send(REQUEST);
            engine.next().answer(HEAD);
        }
        assertTrue(engine.next().text().startsWith("POST /orders/cancel"));
    }

    private void forward(CallerRequest request, CallerResponse response) {
        final BackendCall call =
                client.send(
                        engine.describe(1),
                        new BackendRequest(
                                request.requestId(),
                                request.method(),
                                request.path(),
                                request.headers(),
                                request.body(),
                                Optional.empty(),
                                60_000,
                                request.urgency()),
                        new Forwarding(response));
        response.onWritable(() -> call.setReading(true));
        response.onCallerGone(call::cancel);
        currentCall = call;
    }

    private final class Forwarding implements BackendListener {
        private final CallerResponse response;

        Forwarding(CallerResponse response) {
            this.response = response;
        }

        @Override
        public void onSending() {
            // Not needed in these tests.
        }

        @Override
        public void onHead(int status, Map<String, List<String>> headers) {
            response.begin(status, headers);
        }

        @Override
        public void onBytes(byte[] bytes) {
            response.write(bytes);
            if (!response.isWritable()) {
                currentCall.setReading(false);
            }
        }

        @Override
        public void onEnd(long usedTokens) {
            response.end();
        }

        @Override
        public void onFailure(ResultException failure) {
            response.refuse(failure);
        }
    }
}
