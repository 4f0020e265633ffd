package org.crocushaven.forwarding;

import static org.crocushaven.forwarding.KeptConnectionBackend.named;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.ServerSocket;
import org.crocushaven.ingress.RouteKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests bytes that come in one packet with the answer before them, while the client's next request
 * waits on the client's connection and begins in the same turn of the event loop.
 */
class BytesAfterAnswersTest {
    private static final String REQUEST =
            "POST /chat/x HTTP/1.1\r\nHost: host\r\nContent-Length: 0\r\n\r\n";

    private KeptConnectionBackend backend;
    private ForwardingFixture fixture;
    private RawClient client;

    @BeforeEach
    void start() throws Exception {
        backend = KeptConnectionBackend.start();
    }

    @AfterEach
    void stop() throws Exception {
        client.close();
        fixture.close();
        backend.close();
    }

    /**
     * Sends two requests at once, the first of which is answered with the given bytes behind its
     * answer, and returns the status of the second.
     */
    private int secondStatus(String after) throws Exception {
        fixture =
                ForwardingFixture.withRetries(
                        RouteKind.NON_IDEMPOTENT, ForwardingFixture.TIMEOUT_MILLIS);
        fixture.nameRequestsApart();
        fixture.announce("backend", backend.port(), 4, "");
        final int port = freePort();
        fixture.listen(port);
        backend.answerNext(named("request-1", 200, "", "first"), after);
        backend.answerNext(named("request-2", 404, "", "second"));
        client = RawClient.connect(port).send(REQUEST + REQUEST);
        assertEquals(200, client.awaitStatus());
        return client.awaitStatus();
    }

    private static int freePort() throws Exception {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    // Guards against: what came in one packet with an answer was read as the next one's answer.
    @Nested
    class WithTheNextRequestWaiting {
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ncopy",
                    "HTTP/1.1 200 OK\r\nRequest-Id: request-1\r\nContent-Length: 4\r\n\r\ncopy",
                    "HTTP/1.1 200 OK\r\nRequest-Id: request-2\r\nContent-Length: 4\r\n\r\ncopy",
                    "HTTP/1.1 200 OK\r\nRequest-Id: request-2\r\n",
                    "HTTP/1.1 200 OK\r\nRequest-Id: reque",
                    "HTTP/1.1 200 OK",
                    "HT",
                    "\r\n",
                    "rest",
                })
        void areNotReadAsItsAnswer(String after) throws Exception {
            assertEquals(404, secondStatus(after));
            assertEquals(2, backend.connections());
        }

        // Guards against: a sound connection was closed after each answer.
        @Test
        void connectionIsUsedAgainIfNothingComes() throws Exception {
            assertEquals(404, secondStatus(""));
            assertEquals(1, backend.connections());
        }
    }
}
