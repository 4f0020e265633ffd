package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.crocushaven.ingress.RouteKind;
import org.crocushaven.result.ResultCode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests what becomes of an answer that the client has not read yet. */
class AnswerNotYetWrittenTest {
    private static final int BODY_BYTES = 32 << 20;
    private static final long NO_LIMIT_MILLIS = 60_000;
    private static final String REQUEST =
            "POST /chat/x HTTP/1.1\r\nHost: host\r\nContent-Length: 0\r\n\r\n";

    private StandInServer backend;
    private ForwardingFixture fixture;
    private IngressServer server;
    private Socket client;

    @BeforeEach
    void start() throws Exception {
        backend = StandInServer.start("backend");
        fixture = ForwardingFixture.withRetries(RouteKind.NON_IDEMPOTENT, NO_LIMIT_MILLIS);
        fixture.announce(backend, 4);
        final int port = freePort();
        server = fixture.listen(port);
        client = new Socket();
        client.setReceiveBufferSize(8_192);
        client.setSoTimeout((int) ForwardingFixture.AWAIT_MILLIS);
        client.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    }

    @AfterEach
    void stop() throws Exception {
        client.close();
        fixture.close();
        backend.close();
    }

    private static int freePort() throws Exception {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    private void send() throws Exception {
        client.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
    }

    private long readAll() throws Exception {
        final InputStream in = client.getInputStream();
        final byte[] buffer = new byte[1 << 16];
        long total = 0;
        int read = in.read(buffer);
        while (read >= 0) {
            total += read;
            if (total > BODY_BYTES) {
                return total;
            }
            read = in.read(buffer);
        }
        return total;
    }

    private void answerAndLetTheGatewayTakeIt() throws Exception {
        backend.awaitRequest().answer(200, "", "x".repeat(BODY_BYTES));
        assertEquals(ResultCode.OK, fixture.awaitRequestEnd());
    }

    @Test
    void itIsWholeWhenTheClientReadsItLate() throws Exception {
        send();
        answerAndLetTheGatewayTakeIt();

        assertEquals(true, readAll() > BODY_BYTES, "the answer was cut");
    }

    @Test
    void stoppingGatewayDoesNotCutItWhenItClosesIdleConnections() throws Exception {
        send();
        answerAndLetTheGatewayTakeIt();

        fixture.run(() -> server.startStopping(0));
        fixture.run(server::closeIdle);

        assertEquals(true, readAll() > BODY_BYTES, "the answer was cut");
    }

    @Test
    void noRequestIsSentOnThatArrivesAfterTheConnectionsLastAnswer() throws Exception {
        fixture.run(() -> server.startStopping(ForwardingFixture.AWAIT_MILLIS));
        send();
        assertEquals("backend", fixture.awaitSend());
        answerAndLetTheGatewayTakeIt();

        send();
        readAll();

        assertEquals(0, fixture.pendingSends(), "sent on, and its connection is closing");
    }
}
