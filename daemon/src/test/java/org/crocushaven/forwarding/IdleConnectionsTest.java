package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.crocushaven.ingress.RouteKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests which connections of clients are closed as idle. */
class IdleConnectionsTest {
    private static final long OVER_DEFAULT_LIMIT_MILLIS = 16_000;
    private static final String REQUEST =
            "POST /chat/x HTTP/1.1\r\nHost: host\r\nContent-Length: 0\r\n\r\n";
    private static final int NOT_FOUND_DIGITS = "HTTP/1.1 404".length();

    private ForwardingFixture fixture;
    private IngressServer server;
    private InetSocketAddress address;

    @BeforeEach
    void start() throws Exception {
        fixture =
                ForwardingFixture.withRetries(
                        RouteKind.IDEMPOTENT, ForwardingFixture.TIMEOUT_MILLIS);
        try (ServerSocket socket = new ServerSocket(0)) {
            address =
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
        }
        server = fixture.listen(address.getPort());
        fixture.removeAllRoutes();
    }

    @AfterEach
    void stop() throws Exception {
        fixture.close();
    }

    /** Returns a connection that is idle after one request. */
    private Socket connect() throws Exception {
        final Socket client = new Socket();
        client.setSoTimeout((int) ForwardingFixture.AWAIT_MILLIS);
        client.connect(address);
        client.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
        final String status =
                new String(
                        client.getInputStream().readNBytes(NOT_FOUND_DIGITS),
                        StandardCharsets.US_ASCII);
        assertEquals("HTTP/1.1 404", status);
        fixture.passOnLoop(0);
        return client;
    }

    private void assertClosed(Socket client) throws Exception {
        client.getInputStream().readAllBytes();
    }

    @Test
    void oneThatCannotBeCheckedDoesNotKeepTheOthersOpen() throws Exception {
        try (Socket first = connect();
                Socket second = connect()) {
            fixture.failNextIdleReport();
            fixture.passTime(OVER_DEFAULT_LIMIT_MILLIS);

            fixture.run(server::checkAllTimeouts);
            fixture.run(server::checkAllTimeouts);

            assertClosed(first);
            assertClosed(second);
        }
    }
}
