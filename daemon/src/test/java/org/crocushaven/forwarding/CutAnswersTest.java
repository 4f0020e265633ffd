package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.crocushaven.ingress.RouteKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests answers that are cut after each of their bytes, by a close or a reset. */
class CutAnswersTest {
    private static final String EVENT = "id: 1\n\n";

    private CuttingServer server;

    @BeforeEach
    void start() throws Exception {
        server = CuttingServer.start();
    }

    @AfterEach
    void stop() throws Exception {
        server.close();
    }

    private enum Framing {
        LENGTH("Content-Length: 7\r\n\r\n" + EVENT),
        CHUNKS("Transfer-Encoding: chunked\r\n\r\n7\r\n" + EVENT + "\r\n0\r\n\r\n"),
        CONNECTION("\r\n");

        private static final String HEAD =
                "HTTP/1.1 200 OK\r\nRequest-Id: request\r\nSignature: s\r\n";

        private final String rest;

        Framing(String rest) {
            this.rest = rest;
        }

        String answer() {
            return HEAD + rest;
        }
    }

    // Guards against: an answer cut within its head became a 200 with an empty or short body.
    @Nested
    class OfBackendServers {
        private ForwardingFixture fixture;

        @AfterEach
        void stop() throws Exception {
            fixture.close();
        }

        private String answerTo(RouteKind kind, String bytes, CuttingServer.End end)
                throws Exception {
            server.answer(bytes, end);
            return fixture.start().awaitEnd();
        }

        @ParameterizedTest
        @CsvSource({
            "NON_IDEMPOTENT, LENGTH, CLOSE",
            "NON_IDEMPOTENT, LENGTH, RESET",
            "NON_IDEMPOTENT, CHUNKS, CLOSE",
            "NON_IDEMPOTENT, CHUNKS, RESET",
            "NON_IDEMPOTENT, CONNECTION, CLOSE",
            "NON_IDEMPOTENT, CONNECTION, RESET",
            "STREAM, LENGTH, CLOSE",
            "STREAM, LENGTH, RESET",
            "STREAM, CHUNKS, CLOSE",
            "STREAM, CHUNKS, RESET",
            "STREAM, CONNECTION, CLOSE",
            "STREAM, CONNECTION, RESET",
        })
        void areNeverWhole(RouteKind kind, Framing framing, CuttingServer.End end)
                throws Exception {
            fixture = ForwardingFixture.withRetries(kind, ForwardingFixture.TIMEOUT_MILLIS);
            fixture.announce("server", server.port(), 4, "");
            final String answer = framing.answer();
            for (int cut = 0; cut < answer.length(); cut++) {
                final String received = answerTo(kind, answer.substring(0, cut), end);
                assertTrue(
                        received.startsWith("refused ") || received.startsWith("aborted "),
                        "cut after " + cut + " bytes: " + received);
            }
            assertTrue(server.requests() >= answer.length(), "requests were not sent");
        }
    }

    // Guards against: what another gateway broke off was passed on as whole.
    @Nested
    class OfOtherGateways {
        private GatewayPair pair;

        @AfterEach
        void stop() throws Exception {
            pair.close();
        }

        private static boolean isWhole(List<String> lines) {
            final boolean success = !lines.isEmpty() && lines.get(0).contains(" 200 ");
            return success && (!lines.contains("transfer-encoding: chunked") || endsChunks(lines));
        }

        private static boolean endsChunks(List<String> lines) {
            return lines.lastIndexOf("0") == lines.size() - 2;
        }

        private List<String> answerTo(String bytes, CuttingServer.End end) throws Exception {
            server.answer(bytes, end);
            try (PairClient client = pair.first().send("request")) {
                return client.readToEnd();
            }
        }

        @ParameterizedTest
        @CsvSource({
            "NON_IDEMPOTENT, LENGTH, CLOSE",
            "NON_IDEMPOTENT, CHUNKS, CLOSE",
            "NON_IDEMPOTENT, CHUNKS, RESET",
            "NON_IDEMPOTENT, CONNECTION, CLOSE",
            "STREAM, LENGTH, CLOSE",
            "STREAM, CHUNKS, CLOSE",
            "STREAM, CHUNKS, RESET",
            "STREAM, CONNECTION, CLOSE",
        })
        void areNeverWhole(RouteKind kind, Framing framing, CuttingServer.End end)
                throws Exception {
            pair = GatewayPair.start(kind, 1);
            pair.cutWithRefusals(pair.first());
            pair.first().introduceAt(server.port());
            final String answer = framing.answer();
            for (int cut = 0; cut < answer.length(); cut++) {
                final List<String> received = answerTo(answer.substring(0, cut), end);
                assertFalse(isWhole(received), "cut after " + cut + " bytes: " + received);
            }
            assertTrue(server.requests() >= answer.length(), "requests were not handed over");
            if (framing != Framing.CONNECTION) {
                assertTrue(isWhole(answerTo(answer, CuttingServer.End.CLOSE)));
            }
        }
    }
}
