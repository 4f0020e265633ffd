package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.net.ServerSocket;
import org.crocushaven.ingress.IngressLimits;
import org.crocushaven.ingress.RouteKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests which limits an open connection keeps to, and when it is closed as idle. */
class IdleConnectionsTest {
    private static final long OVER_DEFAULT_LIMIT_MILLIS = 16_000;
    private static final long LONG_LIMIT_MILLIS = 30_000;
    private static final long SHORT_LIMIT_MILLIS = 5_000;
    private static final int SMALL_BYTES = 100;
    private static final int LARGE_BYTES = 1_000;
    private static final int LONG_LINE_BYTES = 12_000;
    private static final int NOT_FOUND = 404;
    private static final int BODY_TOO_LARGE = 413;
    private static final int HEADERS_TOO_LARGE = 431;

    private ForwardingFixture fixture;
    private IngressServer server;
    private int port;

    @BeforeEach
    void start() throws Exception {
        fixture =
                ForwardingFixture.withRetries(
                        RouteKind.IDEMPOTENT, ForwardingFixture.TIMEOUT_MILLIS);
        try (ServerSocket socket = new ServerSocket(0)) {
            port = socket.getLocalPort();
        }
        server = fixture.listen(port);
        fixture.removeAllRoutes();
    }

    @AfterEach
    void stop() throws Exception {
        fixture.close();
    }

    private static String head(int fillerBytes, int bodyBytes) {
        return "POST /chat/x HTTP/1.1\r\nHost: host\r\nFiller: "
                + "x".repeat(fillerBytes)
                + "\r\nContent-Length: "
                + bodyBytes
                + "\r\n\r\n";
    }

    private static String request(int fillerBytes, int bodyBytes) {
        return head(fillerBytes, bodyBytes) + "x".repeat(bodyBytes);
    }

    /** Returns a connection that is idle after one request. */
    private RawClient connect() throws Exception {
        final RawClient client = RawClient.connect(port).send(request(1, 0));
        assertEquals(NOT_FOUND, client.awaitStatus());
        fixture.passOnLoop(0);
        return client;
    }

    @Test
    void oneThatCannotBeCheckedDoesNotKeepTheOthersOpen() throws Exception {
        try (RawClient first = connect();
                RawClient second = connect()) {
            fixture.failNextIdleReport();
            fixture.passTime(OVER_DEFAULT_LIMIT_MILLIS);

            fixture.run(server::checkAllTimeouts);
            fixture.run(server::checkAllTimeouts);

            assertEquals(-1, first.awaitStatus());
            assertEquals(-1, second.awaitStatus());
        }
    }

    @Nested
    class AfterChangeOfTheConfiguration {
        private void limitIdleTime(long millis) {
            fixture.limit(
                    new IngressLimits(
                            IngressLimits.DEFAULT.maximumHeaderBytes(),
                            IngressLimits.DEFAULT.maximumBodyBytes(),
                            IngressLimits.DEFAULT.headerTimeoutMillis(),
                            millis));
        }

        private void limitBytes(int headerBytes, int bodyBytes) {
            fixture.limit(
                    new IngressLimits(
                            headerBytes,
                            bodyBytes,
                            IngressLimits.DEFAULT.headerTimeoutMillis(),
                            IngressLimits.DEFAULT.idleTimeoutMillis()));
        }

        @Test
        void openOneIsNotClosedOverAnIdleTimeThatWasRaised() throws Exception {
            try (RawClient client = connect()) {
                limitIdleTime(LONG_LIMIT_MILLIS);
                fixture.passTime(OVER_DEFAULT_LIMIT_MILLIS);
                fixture.run(server::checkAllTimeouts);

                assertNotEquals(-1, client.send(request(1, 0)).awaitStatus());
            }
        }

        @Test
        void idleOneIsNotClosedEarlierThanItsClientKnew() throws Exception {
            try (RawClient client = connect()) {
                limitIdleTime(SHORT_LIMIT_MILLIS);
                fixture.passTime(SHORT_LIMIT_MILLIS + 1_000);
                fixture.run(server::checkAllTimeouts);

                assertNotEquals(-1, client.send(request(1, 0)).awaitStatus());
            }
        }

        @Test
        void idleOneIsClosedAtTheTimeThatItsClientKnew() throws Exception {
            try (RawClient client = connect()) {
                limitIdleTime(SHORT_LIMIT_MILLIS);
                fixture.passTime(OVER_DEFAULT_LIMIT_MILLIS);
                fixture.run(server::checkAllTimeouts);

                assertEquals(-1, client.awaitStatus());
            }
        }

        @Test
        void openOneIsClosedAfterAnIdleTimeThatWasLoweredBeforeItsLastRequest() throws Exception {
            try (RawClient client = connect()) {
                limitIdleTime(SHORT_LIMIT_MILLIS);
                assertEquals(NOT_FOUND, client.send(request(1, 0)).awaitStatus());
                fixture.passOnLoop(0);
                fixture.passTime(SHORT_LIMIT_MILLIS + 1_000);
                fixture.run(server::checkAllTimeouts);

                assertEquals(-1, client.awaitStatus());
            }
        }

        @Test
        void openOneTakesWhatIsAllowedNow() throws Exception {
            limitBytes(SMALL_BYTES, SMALL_BYTES);
            try (RawClient client = connect()) {
                limitBytes(4 * LARGE_BYTES, LARGE_BYTES);

                assertEquals(NOT_FOUND, client.send(request(1, LARGE_BYTES)).awaitStatus());
                assertEquals(NOT_FOUND, client.send(request(LARGE_BYTES, 0)).awaitStatus());
            }
        }

        // Guards against: a request line of more than 8 KiB was refused although heads may be
        // larger.
        @Test
        void requestLineMayBeAsLongAsHeads() throws Exception {
            limitBytes(LONG_LINE_BYTES + LARGE_BYTES, LARGE_BYTES);
            final String path = "/chat/" + "x".repeat(LONG_LINE_BYTES);
            try (RawClient client = RawClient.connect(port)) {
                client.send(request(1, 0).replace("/chat/x", path));

                assertEquals(NOT_FOUND, client.awaitStatus());
            }
        }

        @Test
        void openOneRefusesBodyThatIsTooLargeNow() throws Exception {
            try (RawClient client = connect()) {
                limitBytes(SMALL_BYTES, SMALL_BYTES);

                assertEquals(BODY_TOO_LARGE, client.send(request(1, LARGE_BYTES)).awaitStatus());
            }
        }

        @Test
        void openOneRefusesHeadThatIsTooLargeNow() throws Exception {
            try (RawClient client = connect()) {
                limitBytes(SMALL_BYTES, SMALL_BYTES);

                assertEquals(HEADERS_TOO_LARGE, client.send(request(LARGE_BYTES, 0)).awaitStatus());
            }
        }

        @Test
        void requestWhoseBodyHasBegunKeepsItsLimits() throws Exception {
            try (RawClient client = connect()) {
                client.send(head(1, LARGE_BYTES) + "x");
                fixture.awaitBytes();
                limitBytes(SMALL_BYTES, SMALL_BYTES);

                client.send("x".repeat(LARGE_BYTES - 1));

                assertEquals(NOT_FOUND, client.awaitStatus());
            }
        }

        @Test
        void requestWhoseBodyHasBegunIsNotCutOverAnIdleTimeThatWasLowered() throws Exception {
            try (RawClient client = connect()) {
                client.send(head(1, 2) + "x");
                fixture.awaitBytes();
                limitIdleTime(SHORT_LIMIT_MILLIS);
                fixture.passTime(SHORT_LIMIT_MILLIS + 1_000);
                fixture.run(server::checkAllTimeouts);

                client.send("x");

                assertEquals(NOT_FOUND, client.awaitStatus());
            }
        }

        @Test
        void requestWhoseHeadHasBegunKeepsItsLimits() throws Exception {
            try (RawClient client = connect()) {
                final String request = request(LARGE_BYTES, 1);
                client.send(request.substring(0, LARGE_BYTES / 2));
                fixture.awaitBytes();
                limitBytes(SMALL_BYTES, SMALL_BYTES);

                client.send(request.substring(LARGE_BYTES / 2));

                assertEquals(NOT_FOUND, client.awaitStatus());
            }
        }

        @Test
        void headThatFollowsAnotherRequestAtOnceIsNotTorn() throws Exception {
            try (RawClient client = connect()) {
                final String second = request(LARGE_BYTES, 1);
                client.send(request(1, 1) + second.substring(0, LARGE_BYTES / 2));
                assertEquals(NOT_FOUND, client.awaitStatus());
                limitBytes(4 * LARGE_BYTES, LARGE_BYTES);

                client.send(second.substring(LARGE_BYTES / 2));

                assertEquals(NOT_FOUND, client.awaitStatus());
            }
        }
    }
}
