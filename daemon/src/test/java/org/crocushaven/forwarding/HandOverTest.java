package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.crocushaven.ingress.RouteKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests what clients get of a gateway that has lost its ways to all backend servers. */
class HandOverTest {
    private static final int SERVERS = 4;
    private static final String THROUGH_OTHER = "served through";

    /** Time within which a gateway that was cut off serves as well as the others. */
    private static final long DETECTION_MILLIS = 1_000;

    /** Time in which a gateway has handled bytes that lie at its socket. */
    private static final long HANDLED_MILLIS = 100;

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

    private static StandInServer.Exchange beginStream(StandInServer.Exchange running)
            throws Exception {
        running.write(
                "HTTP/1.1 200 OK\r\nSignature: s\r\nConnection: close\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n");
        return running;
    }

    @Nested
    class AcrossTheHop {
        @Test
        void clientThatLeavesEndsTheRequestAtTheBackendServer() throws Exception {
            pair = GatewayPair.start(RouteKind.STREAM, SERVERS);
            pair.cutWithRefusals(pair.first());
            final PairClient client = pair.first().send("request");
            final StandInServer.Exchange running = beginStream(pair.awaitRequest()).event(1);
            client.awaitLine("id:");

            client.close();

            running.awaitClosed();
        }

        /** Guards against two gateways that are both cut off and hand over to each other. */
        @Test
        void requestIsRefusedAsNotRunAtOnceWhenTheOtherIsCutOffToo() throws Exception {
            pair = GatewayPair.start(RouteKind.IDEMPOTENT, SERVERS);
            pair.cutWithRefusals(pair.first());
            pair.cutWithRefusals(pair.second());
            final long startNanos = System.nanoTime();

            try (PairClient client = pair.first().send("request")) {
                assertEquals(503, client.awaitStatus());
                assertTrue(client.awaitLine("retry-after").endsWith("0.400"));
            }
            assertTrue(millisSince(startNanos) < DETECTION_MILLIS, "refused too late");
        }

        @Test
        void requestThatMayHaveRunIsNotSentAgainWhenTheOtherGatewayBreaksOff() throws Exception {
            pair = GatewayPair.start(RouteKind.NON_IDEMPOTENT, SERVERS);
            pair.cutWithRefusals(pair.first());

            try (PairClient client = pair.first().send("request")) {
                pair.awaitRequest();
                pair.second().breakClientsOff();

                assertEquals(502, client.awaitStatus());
            }
            assertFalse(pair.hasRequest());
        }

        @Test
        void otherGatewayTakesNoMoreAttemptsThanAreLeft() throws Exception {
            pair = GatewayPair.start(RouteKind.IDEMPOTENT, SERVERS);
            pair.cutWithRefusals(pair.first());

            try (PairClient client = pair.first().send("request")) {
                pair.awaitRequest().breakOff();
                pair.awaitRequest().breakOff();

                assertEquals(502, client.awaitStatus());
            }
            assertFalse(pair.hasRequest());
        }

        /** Guards against a promise of not having run by a relay that lost its paths meanwhile. */
        @Test
        void requestThatMayHaveRunIsNotCalledNotRunByRelayWithoutPaths() throws Exception {
            pair = GatewayPair.start(RouteKind.IDEMPOTENT, SERVERS);
            pair.cutWithRefusals(pair.first());

            try (PairClient client = pair.first().send("request")) {
                final StandInServer.Exchange running = pair.awaitRequest();
                pair.cutWithRefusals(pair.second());
                running.breakOff();

                assertEquals(502, client.awaitStatus());
            }
        }

        @Test
        void requestIsChargedOnceWhereItIsServed() throws Exception {
            pair = GatewayPair.startWithOneRequestEach(SERVERS);
            pair.cutWithRefusals(pair.first());
            try (PairClient client = pair.first().send("handed over")) {
                answerNext("served");
                assertEquals(200, client.awaitStatus());
            }
            try (PairClient client = pair.first().send("beyond the other's share")) {
                assertEquals(429, client.awaitStatus());
            }

            pair.heal(pair.first());
            pair.awaitOpenPaths(pair.first());

            try (PairClient client = pair.first().send("own share")) {
                answerNext("served");
                assertEquals(200, client.awaitStatus());
            }
        }

        @Test
        void failureOfTheBackendServerIsPassedOn() throws Exception {
            pair = GatewayPair.start(RouteKind.NON_IDEMPOTENT, SERVERS);
            pair.cutWithRefusals(pair.first());

            try (PairClient client = pair.first().send("request")) {
                pair.awaitRequest().answer(500, "Signature: s\r\n", "broken");

                assertEquals(500, client.awaitStatus());
                assertTrue(client.readToEnd().contains("broken"));
            }
        }

        /** Guards against a head that comes in parts and ends the request. */
        @Test
        void headOfTheNextGatewayMayComeInPartsAfterTheRefusalOfAnother() throws Exception {
            pair = GatewayPair.start(RouteKind.IDEMPOTENT, SERVERS);
            pair.cutWithRefusals(pair.first());
            try (StandInServer refusing = StandInServer.start("refusing");
                    StandInServer serving = StandInServer.start("serving")) {
                pair.first().introduce(refusing, serving);
                try (PairClient client = pair.first().send("request")) {
                    refusing.awaitRequest().answer(503, "", "refused");
                    final StandInServer.Exchange exchange = serving.awaitRequest();
                    exchange.write("HTTP/1.1 200 OK\r\nSigna");
                    pair.first().passOnLoop(HANDLED_MILLIS);
                    exchange.write("ture: s\r\nContent-Length: 6\r\n\r\nserved");

                    assertEquals(200, client.awaitStatus());
                }
            }
        }

        @Test
        void streamThatFellSilentGoesOnThroughTheOtherAfterItsLastEvent() throws Exception {
            pair = GatewayPair.start(RouteKind.STREAM, SERVERS);
            try (PairClient client = pair.first().send("request")) {
                beginStream(pair.awaitRequest()).event(1);
                assertEquals("id: 1", client.awaitLine("id:"));
                pair.cutSilently(pair.first());

                final StandInServer.Exchange resumed = pair.awaitRequest();
                assertEquals("1", resumed.lastEventId());
                beginStream(resumed).event(2);

                assertEquals("id: 2", client.awaitLine("id:"));
            }
        }
    }

    @Nested
    class Return {
        @Test
        void requestsTakeOwnPathsAgainOnceTheseAreOpen() throws Exception {
            pair = GatewayPair.start(RouteKind.IDEMPOTENT, SERVERS);
            pair.cutWithRefusals(pair.first());
            try (PairClient client = pair.first().send("cut")) {
                answerNext("served");
                assertEquals(200, client.awaitStatus());
            }
            assertTrue(pair.first().awaitEnd().reason().startsWith(THROUGH_OTHER));

            pair.heal(pair.first());
            pair.awaitOpenPaths(pair.first());

            try (PairClient client = pair.first().send("healed")) {
                answerNext("served");
                assertEquals(200, client.awaitStatus());
            }
            assertEquals("served", pair.first().awaitEnd().reason());
        }
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

        /** Guards against a silent attempt that is ended for a hand-over which nobody can take. */
        @Test
        void silentRequestIsNotGivenUpWhileNoOtherGatewayHasPaths() throws Exception {
            pair = GatewayPair.start(RouteKind.IDEMPOTENT, SERVERS);
            pair.first().knowOnlyAnotherWithoutPaths();
            try (PairClient client = pair.first().send("request")) {
                final StandInServer.Exchange silent = pair.awaitRequest();
                pair.cutSilently(pair.first());
                pair.first().awaitClosedPaths();
                pair.first().passOnLoop(ForwardingFixture.SILENCE_MILLIS);

                silent.answer(200, "Signature: s\r\n", "late");

                assertEquals(200, client.awaitStatus());
            }
        }

        /** Guards against requests that wait for a leader which is cut off too. */
        @Test
        void requestIsRefusedSoonWhileNoLeaderNamesAnother() throws Exception {
            pair = GatewayPair.start(RouteKind.IDEMPOTENT, SERVERS);
            pair.cutWithRefusals(pair.first());
            pair.first().knowOnlyAnotherWithoutPaths();
            pair.first().loseLeader();
            final long startNanos = System.nanoTime();

            try (PairClient client = pair.first().send("request")) {
                assertEquals(503, client.awaitStatus());
            }
            assertTrue(millisSince(startNanos) < DETECTION_MILLIS, "refused too late");
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
                final StandInServer.Exchange running = beginStream(pair.awaitRequest());
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
