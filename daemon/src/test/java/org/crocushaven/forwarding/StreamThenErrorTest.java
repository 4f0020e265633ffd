package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.stream.Stream;
import org.crocushaven.ingress.RouteKind;
import org.crocushaven.result.ResultCode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests the bytes that clients get of a stream which broke off, whatever is answered next. */
class StreamThenErrorTest {
    private static final int SERVERS = 4;
    private static final String FIRST_EVENT = "7\r\nid: 1\n\n\r\n";
    private static final String SECOND_EVENT = "7\r\nid: 2\n\n\r\n";
    private static final String END = "0\r\n\r\n";
    private static final String WHOLE_REST = SECOND_EVENT + END;
    private static final String STREAM_HEAD =
            "HTTP/1.1 200 OK\r\nSignature: s\r\nConnection: close\r\n"
                    + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

    /** Time in which a gateway has handled an answer that lies at its socket. */
    private static final long HANDLED_MILLIS = 100;

    private GatewayPair pair;
    private RawClient client;

    @BeforeEach
    void start() throws Exception {
        pair = GatewayPair.start(RouteKind.STREAM, SERVERS);
        client = RawClient.connect(pair.first().port());
    }

    @AfterEach
    void stop() throws Exception {
        client.close();
        pair.close();
    }

    /** Begins a stream, of which the client has the first event then. */
    private StandInServer.Exchange beginStream() throws Exception {
        client.send(
                "POST /chat/x HTTP/1.1\r\nHost: host\r\nKey: key\r\n"
                        + ConnectionDialect.REQUEST_ID
                        + ": request\r\nContent-Length: 0\r\n\r\n");
        final StandInServer.Exchange begun = pair.awaitRequest();
        begun.write(STREAM_HEAD);
        begun.event(1);
        client.readUntil(FIRST_EVENT);
        return begun;
    }

    private static void goOn(StandInServer.Exchange next) throws Exception {
        assertEquals("1", next.lastEventId());
        next.write(STREAM_HEAD + WHOLE_REST);
        next.close();
    }

    /** Asserts that the client gets nothing more, not even the end of the chunks. */
    private void assertCutShort() throws Exception {
        assertEquals("", client.readToEnd());
        assertEquals(ResultCode.ANSWER_INCOMPLETE, pair.first().awaitEnd().code());
    }

    /** Returns all answers after one way to break off, and one answer after all ways. */
    private static Stream<Arguments> breaksAndAnswers() {
        return Stream.concat(
                Arrays.stream(NextAnswer.values()).map(next -> Arguments.of(Break.RESET, next)),
                Arrays.stream(Break.values())
                        .map(broken -> Arguments.of(broken, NextAnswer.FAILED)));
    }

    /** Guards against errors that clients read within a stream, or as its end. */
    @Nested
    class AtTheSameGateway {
        @ParameterizedTest
        @MethodSource("org.crocushaven.forwarding.StreamThenErrorTest#breaksAndAnswers")
        void isCutShortWhereTheNextServerDoesNotGoOn(Break broken, NextAnswer next)
                throws Exception {
            broken.apply(beginStream());

            next.giveBy(pair.awaitRequest());

            assertCutShort();
        }

        @ParameterizedTest
        @EnumSource
        void isWholeWhereTheNextServerGoesOn(Break broken) throws Exception {
            broken.apply(beginStream());

            goOn(pair.awaitRequest());

            assertEquals(WHOLE_REST, client.readUntil(END));
        }
    }

    /** Guards against errors of a replacement that clients read within a stream. */
    @Nested
    class BesideTheSilentServer {
        @ParameterizedTest
        @EnumSource
        void isWholeWhereTheSilentServerGoesOn(NextAnswer next) throws Exception {
            final StandInServer.Exchange silent = beginStream();
            next.giveBy(pair.awaitRequest());
            pair.first().passOnLoop(HANDLED_MILLIS);

            silent.event(2).end();

            assertEquals(WHOLE_REST, client.readUntil(END));
        }

        @ParameterizedTest
        @EnumSource(names = {"FAILED", "NOT_RUN", "NOT_A_STREAM", "UNTYPED", "EMPTY"})
        void isCutShortWhereTheSilentServerBreaksOff(NextAnswer next) throws Exception {
            final StandInServer.Exchange silent = beginStream();
            next.giveBy(pair.awaitRequest());
            pair.first().passOnLoop(HANDLED_MILLIS);

            silent.breakOff();

            assertCutShort();
        }
    }

    /** Guards against errors that come through the gateway to which a begun stream is handed. */
    @Nested
    class ThroughAnotherGateway {
        @ParameterizedTest
        @MethodSource("org.crocushaven.forwarding.StreamThenErrorTest#breaksAndAnswers")
        void isCutShortWhereTheNextServerDoesNotGoOn(Break broken, NextAnswer next)
                throws Exception {
            final StandInServer.Exchange begun = beginStream();
            pair.cutWithRefusals(pair.first());
            broken.apply(begun);

            next.giveBy(pair.awaitRequest());

            assertCutShort();
        }

        @ParameterizedTest
        @EnumSource
        void isWholeWhereTheNextServerGoesOn(Break broken) throws Exception {
            final StandInServer.Exchange begun = beginStream();
            pair.cutWithRefusals(pair.first());
            broken.apply(begun);

            goOn(pair.awaitRequest());

            assertEquals(WHOLE_REST, client.readUntil(END));
        }

        @Test
        void isCutShortWhereTheOtherHasNoPathsEither() throws Exception {
            final StandInServer.Exchange begun = beginStream();
            pair.cutWithRefusals(pair.first());
            pair.cutWithRefusals(pair.second());

            begun.breakOff();

            assertCutShort();
        }
    }

    /** Guards against answers of another gateway, also of another build, within a begun stream. */
    @Nested
    class OfAnotherGateway {
        private StandInServer other;

        @BeforeEach
        void knowOther() throws Exception {
            other = StandInServer.start("other");
            pair.first().introduce(other);
        }

        @AfterEach
        void stopOther() throws Exception {
            other.close();
        }

        private StandInServer.Exchange handOver() throws Exception {
            final StandInServer.Exchange begun = beginStream();
            pair.cutWithRefusals(pair.first());
            begun.breakOff();
            return other.awaitRequest();
        }

        @ParameterizedTest
        @EnumSource
        void isCutShortWhereTheOtherDoesNotGoOn(NextAnswer next) throws Exception {
            next.giveBy(handOver());

            assertCutShort();
        }

        @ParameterizedTest
        @EnumSource
        void isCutShortWhereTheOtherRefuses(OwnRefusal refusal) throws Exception {
            refusal.giveBy(handOver());

            assertCutShort();
        }

        @Test
        void isWholeWhereTheOtherGoesOn() throws Exception {
            goOn(handOver());

            assertEquals(WHOLE_REST, client.readUntil(END));
        }
    }

    /** How a begun stream breaks off. */
    private enum Break {
        RESET {
            @Override
            void apply(StandInServer.Exchange begun) throws Exception {
                begun.breakOff();
            }
        },
        CLOSED_AFTER_AN_EVENT {
            @Override
            void apply(StandInServer.Exchange begun) throws Exception {
                begun.close();
            }
        },
        CLOSED_WITHIN_AN_EVENT {
            @Override
            void apply(StandInServer.Exchange begun) throws Exception {
                begun.partialEvent(2).close();
            }
        },
        ENDED_WITHIN_AN_EVENT {
            @Override
            void apply(StandInServer.Exchange begun) throws Exception {
                begun.partialEvent(2).end();
            }
        },
        UNREADABLE {
            @Override
            void apply(StandInServer.Exchange begun) throws Exception {
                begun.write("HTTP/1.1 500 Failed\r\nContent-Length: 6\r\n\r\nfailed");
            }
        };

        abstract void apply(StandInServer.Exchange begun) throws Exception;
    }

    /** What is answered in place of the rest of a stream. */
    private enum NextAnswer {
        BAD_REQUEST(failure("400 Bad Request")),
        NOT_FOUND(failure("404 Not Found")),
        TOO_MANY_REQUESTS(failure("429 Too Many Requests")),
        FAILED(failure("500 Failed")),
        UNAVAILABLE(failure("503 Unavailable")),
        NOT_RUN(failure("503 Unavailable\r\nNot-Run: 1")),
        MISDIRECTED(failure("421 Misdirected\r\nNot-Run: 1")),
        REDIRECT(failure("302 Found\r\nLocation: /elsewhere")),
        NOT_A_STREAM(failure("200 OK\r\nContent-Type: application/json")),
        UNTYPED(failure("200 OK")),
        UNSIGNED(STREAM_HEAD.replace("Signature: s\r\n", "") + WHOLE_REST),
        EMPTY(STREAM_HEAD + END),
        EMPTY_BODY("HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 0\r\n\r\n"),
        NO_CONTENT("HTTP/1.1 204 No Content\r\nSignature: s\r\n\r\n"),
        REPEATED_ONLY(STREAM_HEAD + FIRST_EVENT + END),
        EVENT_MISSING(STREAM_HEAD + "7\r\nid: 3\n\n\r\n" + END),
        RESET(""),
        HEAD_CUT("HTTP/1.1 200 OK\r\nSigna"),
        STATUS_LINE_CUT("HTTP/1.1 500 Internal");

        private final String text;

        NextAnswer(String text) {
            this.text = text;
        }

        private static String failure(String statusAndHeaders) {
            return "HTTP/1.1 "
                    + statusAndHeaders
                    + "\r\nSignature: s\r\nConnection: close\r\nContent-Length: 8\r\n\r\n"
                    + "failed\n\n";
        }

        void giveBy(StandInServer.Exchange exchange) throws Exception {
            exchange.write(text);
            if (this == RESET) {
                exchange.breakOff();
            } else {
                exchange.close();
            }
        }
    }

    /** How another gateway refuses itself, which bears no signature. */
    private enum OwnRefusal {
        FORBIDDEN("403 Forbidden"),
        NOT_FOUND("404 Not Found"),
        TOO_MANY_REQUESTS("429 Too Many Requests"),
        INTERNAL("500 Internal"),
        BAD_GATEWAY("502 Bad Gateway"),
        UNAVAILABLE("503 Unavailable"),
        GATEWAY_TIMEOUT("504 Gateway Timeout");

        private final String status;

        OwnRefusal(String status) {
            this.status = status;
        }

        void giveBy(StandInServer.Exchange exchange) throws Exception {
            exchange.write("HTTP/1.1 " + status + "\r\nContent-Length: 10\r\n\r\n1206 text\n");
            exchange.close();
        }
    }
}
