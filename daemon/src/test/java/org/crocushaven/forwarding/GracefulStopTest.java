package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.crocushaven.fleet.AdapterGrant;
import org.crocushaven.ingress.RouteKind;
import org.crocushaven.result.ResultCode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests what becomes of requests that are under way when the grace period of a stop ends. */
class GracefulStopTest {
    private static final long GRACE_MILLIS = 150;
    private static final long WRITE_MILLIS = 100;
    private static final int BODY_BYTES = 16 << 20;
    private static final long LOAD_MILLIS = 5_000;
    private static final String REQUEST =
            "POST /chat/x HTTP/1.1\r\nHost: host\r\nContent-Length: 0\r\n\r\n";

    private StandInServer backend;
    private ForwardingFixture fixture;
    private IngressServer server;
    private int port;
    private Socket client;

    @BeforeEach
    void start() throws Exception {
        backend = StandInServer.start("backend");
        use(
                ForwardingFixture.withRetries(
                        RouteKind.NON_IDEMPOTENT, ForwardingFixture.TIMEOUT_MILLIS));
    }

    private void use(ForwardingFixture created) throws Exception {
        if (fixture != null) {
            fixture.close();
        }
        fixture = created;
        fixture.announce(backend, 4);
    }

    @AfterEach
    void stop() throws Exception {
        client.close();
        fixture.close();
        backend.close();
    }

    private void send(String requests) throws Exception {
        try (ServerSocket socket = new ServerSocket(0)) {
            port = socket.getLocalPort();
        }
        server = fixture.listen(port);
        client = new Socket();
        client.setReceiveBufferSize(8_192);
        client.setSoTimeout((int) ForwardingFixture.AWAIT_MILLIS);
        client.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        client.getOutputStream().write(requests.getBytes(StandardCharsets.US_ASCII));
    }

    /** Stops the server and waits until the process could end. */
    private void stopServer() throws Exception {
        final CompletableFuture<Void> stopped = fixture.stop(server, GRACE_MILLIS, WRITE_MILLIS);
        stopped.get(ForwardingFixture.AWAIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Ends the event loop, as the end of the process does, and returns what the client got. */
    private String receivedAtProcessEnd() throws Exception {
        fixture.close();
        return new BufferedReader(
                        new InputStreamReader(client.getInputStream(), StandardCharsets.UTF_8))
                .lines()
                .collect(Collectors.joining("\n"));
    }

    private String firstLine() throws Exception {
        return new BufferedReader(
                        new InputStreamReader(client.getInputStream(), StandardCharsets.UTF_8))
                .readLine();
    }

    private void assertStatus(int status, String received) {
        assertTrue(received.startsWith("HTTP/1.1 " + status + ' '), "received: " + received);
    }

    @Nested
    class RequestsThatWait {
        @Test
        void oneThatWaitsForTokensIsRefusedAsNotRun() throws Exception {
            fixture.grantNoTokens();
            final HeldLeader leader = fixture.holdLeader();
            send(REQUEST);
            fixture.awaitWait(leader);

            stopServer();

            assertStatus(503, receivedAtProcessEnd());
            assertEquals(ResultCode.STOPPING, fixture.awaitRequestEnd());
        }

        @Test
        void oneThatWaitsForTheOriginOfItsStreamIsRefusedAsNotRun() throws Exception {
            use(ForwardingFixture.withRetries(RouteKind.STREAM, ForwardingFixture.TIMEOUT_MILLIS));
            fixture.takeUpStreams();
            final HeldLeader leader = fixture.holdLeader();
            send(REQUEST);
            fixture.awaitWait(leader);

            stopServer();

            assertStatus(503, receivedAtProcessEnd());
        }

        @Test
        void oneThatWaitsForTheLeadersChoiceIsRefusedAsNotRun() throws Exception {
            fixture.requireAdapter();
            final HeldLeader leader = fixture.holdLeader();
            send(REQUEST);
            fixture.awaitWait(leader);

            stopServer();

            assertStatus(503, receivedAtProcessEnd());
        }

        @Test
        void oneThatWaitsForItsAdapterIsRefusedAsNotRunAndNeverSent() throws Exception {
            fixture.requireAdapter();
            final HeldLeader leader = fixture.holdLeader();
            send(REQUEST);
            fixture.awaitWait(leader);
            fixture.run(() -> leader.grant(new AdapterGrant("backend", LOAD_MILLIS, 1)));

            stopServer();

            assertStatus(503, receivedAtProcessEnd());
            assertFalse(backend.hasRequest());
        }

        @Test
        void oneThatWaitsBehindAnotherOfItsConnectionIsRefusedToo() throws Exception {
            fixture.requireAdapter();
            final HeldLeader leader = fixture.holdLeader();
            send(REQUEST + REQUEST);
            fixture.awaitWait(leader);

            stopServer();

            final String received = receivedAtProcessEnd();
            assertEquals(2, received.split("HTTP/1.1 503 ", -1).length - 1, received);
        }
    }

    @Nested
    class RequestsThatWereSent {
        @Test
        void oneWhoseBackendServerHasNotAnsweredIsAnsweredAsMaybeRun() throws Exception {
            send(REQUEST);
            final StandInServer.Exchange exchange = backend.awaitRequest();

            stopServer();

            assertStatus(504, receivedAtProcessEnd());
            assertEquals(ResultCode.STOPPED_DURING_REQUEST, fixture.awaitRequestEnd());
            exchange.awaitClosed();
        }

        @Test
        void streamThatHasBegunIsBrokenOffAndReported() throws Exception {
            use(ForwardingFixture.withRetries(RouteKind.STREAM, ForwardingFixture.TIMEOUT_MILLIS));
            send(REQUEST);
            backend.awaitRequest().begin().event(1);

            stopServer();

            final String received = receivedAtProcessEnd();
            assertStatus(200, received);
            assertTrue(received.contains("id: 1"), received);
            assertFalse(received.endsWith("\n0\n"), "looks complete: " + received);
            assertEquals(ResultCode.ANSWER_INCOMPLETE, fixture.awaitRequestEnd());
        }

        @Test
        void failedAnswerThatIsHeldForRetryIsForwarded() throws Exception {
            use(
                    ForwardingFixture.withRetries(
                            RouteKind.IDEMPOTENT, ForwardingFixture.TIMEOUT_MILLIS));
            fixture.requireAdapter();
            final HeldLeader leader = fixture.holdLeader();
            send(REQUEST);
            fixture.awaitWait(leader);
            fixture.run(() -> leader.grant(new AdapterGrant("backend", 0, 1)));
            backend.awaitRequest().answer(500, "", "failed");
            fixture.awaitWait(leader);

            stopServer();

            assertStatus(500, receivedAtProcessEnd());
        }
    }

    @Nested
    class AfterTheGracePeriod {
        @Test
        void nothingIsReportedAsUnfinishedOnceAllHaveTheirAnswer() throws Exception {
            send(REQUEST);
            final StandInServer.Exchange exchange = backend.awaitRequest();

            stopServer();

            assertEquals(List.of(), fixture.unfinished());
            exchange.awaitClosed();
        }

        @Test
        void requestWhoseBodyIsStillArrivingIsReported() throws Exception {
            send(REQUEST.replace("Length: 0", "Length: 2") + "x");
            fixture.awaitBytes();

            stopServer();

            assertEquals(List.of(UnfinishedWork.INCOMPLETE), fixture.unfinished());
        }

        @Test
        void requestWhoseBodyEndsInTheLastMomentsIsRefusedAsNotRun() throws Exception {
            send(REQUEST.replace("Length: 0", "Length: 2") + "x");
            fixture.awaitBytes();
            final CompletableFuture<Void> stopped =
                    fixture.stop(server, 0, ForwardingFixture.AWAIT_MILLIS);

            client.getOutputStream().write('x');

            stopped.get(ForwardingFixture.AWAIT_MILLIS, TimeUnit.MILLISECONDS);
            assertStatus(503, receivedAtProcessEnd());
            assertFalse(backend.hasRequest());
        }

        // Guards against: a request that came late was passed on, and cut at the end of the grace,
        // since the timer from which on requests are refused was late.
        @Test
        void requestThatComesLateIsRefusedAsNotRunAlsoWhereTheTimerIsLate() throws Exception {
            send("");
            fixture.run(() -> server.startStopping(ForwardingFixture.AWAIT_MILLIS));
            fixture.passTime(ForwardingFixture.AWAIT_MILLIS);

            client.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));

            assertStatus(503, firstLine());
            assertFalse(backend.hasRequest());
        }

        @Test
        void answerThatItsClientDoesNotTakeDoesNotHoldTheStopAndIsReported() throws Exception {
            send(REQUEST);
            backend.awaitRequest().answer(200, "", "x".repeat(BODY_BYTES));
            assertEquals(ResultCode.OK, fixture.awaitRequestEnd());

            stopServer();

            assertEquals(List.of(UnfinishedWork.UNWRITTEN), fixture.unfinished());
        }
    }

    @Nested
    class AfterAnUnexpectedException {
        @Test
        void stopEndsAllTheSame() throws Exception {
            send(REQUEST);
            final StandInServer.Exchange exchange = backend.awaitRequest();
            fixture.failWhenRequestsEnd();

            stopServer();

            assertStatus(504, receivedAtProcessEnd());
            exchange.awaitClosed();
        }
    }
}
