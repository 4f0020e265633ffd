package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.crocushaven.ingress.RouteKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests what clients get of a gateway that has lost its ways to all backend servers. */
class HandOverTest {
    private static final int SERVERS = 4;

    /** Time within which a gateway that was cut off serves as well as the others. */
    private static final long DETECTION_MILLIS = 1_000;

    private GatewayPair pair;

    @AfterEach
    void stop() throws Exception {
        pair.close();
    }

    private void answerNext(String body) throws Exception {
        pair.awaitRequest().answer(200, "Signature: s\r\n", body);
    }

    private static long millisSince(long startNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    @Nested
    class OfGatewayThatIsCutOff {
        @Test
        void requestIsServedThroughAnotherWhereBackendServersRefuse() throws Exception {
            pair = GatewayPair.start(RouteKind.IDEMPOTENT, SERVERS);
            pair.cutWithRefusals(pair.first());

            try (PairClient client = pair.first().send("request")) {
                answerNext("served");

                assertEquals(200, client.awaitStatus());
                assertTrue(client.readToEnd().contains("served"));
            }
        }

        @Test
        void requestIsServedThroughAnotherSoonWhereBackendServersAreSilent() throws Exception {
            pair = GatewayPair.start(RouteKind.IDEMPOTENT, SERVERS);
            pair.cutSilently(pair.first());
            final long startNanos = System.nanoTime();

            try (PairClient client = pair.first().send("request")) {
                answerNext("served");

                assertEquals(200, client.awaitStatus());
                assertTrue(millisSince(startNanos) < DETECTION_MILLIS, "served too late");
            }
        }

        @Test
        void requestThatMayRunOnceIsServedThroughAnother() throws Exception {
            pair = GatewayPair.start(RouteKind.NON_IDEMPOTENT, SERVERS);
            pair.cutWithRefusals(pair.first());

            try (PairClient client = pair.first().send("request")) {
                answerNext("served");

                assertEquals(200, client.awaitStatus());
            }
        }

        @Test
        void streamIsForwardedEventByEvent() throws Exception {
            pair = GatewayPair.start(RouteKind.STREAM, SERVERS);
            pair.cutWithRefusals(pair.first());

            try (PairClient client = pair.first().send("request")) {
                final StandInServer.Exchange running = pair.awaitRequest();
                running.write(
                        "HTTP/1.1 200 OK\r\nSignature: s\r\nConnection: close\r\n"
                                + "Transfer-Encoding: chunked\r\n\r\n");
                running.event(1);
                assertEquals("id: 1", client.awaitLine("id:"));
                running.event(2);
                assertEquals("id: 2", client.awaitLine("id:"));
                running.end();

                assertTrue(client.readToEnd().contains("0"));
            }
        }
    }
}
