package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.crocushaven.ingress.RouteKind;
import org.crocushaven.outbound.AnswerMemory;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests that answers without end are cut off in bytes and in time. */
class EndlessAnswersTest {
    private static final String CHUNK_OF_X = "400\r\n" + "x".repeat(0x400) + "\r\n";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";

    /** What the buffers of the operating system may hold beside what the gateway reads. */
    private static final long BUFFERED_BYTES = 12L << 20;

    private static final long CUT_MILLIS = 2_000;
    private static final int SMALL_PIECES = 4 << 10;
    private static final int SLOTS = 16;

    private ForwardingFixture fixture;
    private EndlessServer endless;
    private StandInServer sound;

    @AfterEach
    void stop() throws Exception {
        fixture.close();
        endless.close();
        if (sound != null) {
            sound.close();
        }
    }

    private void use(RouteKind kind, String beginning, String repeated) throws Exception {
        fixture = ForwardingFixture.withRetries(kind, ForwardingFixture.TIMEOUT_MILLIS);
        endless = EndlessServer.start(beginning, repeated);
        fixture.announce("endless", endless.port(), SLOTS, "");
    }

    private void addSound() throws Exception {
        sound = StandInServer.start("sound");
        fixture.announce(sound, SLOTS);
        fixture.occupy(sound, 1);
    }

    private void assertRefusedAndCut(long bytes) throws Exception {
        final ForwardingFixture.RecordedAnswer answer = fixture.start();
        assertCut(bytes);
        assertEquals("refused BACKEND_SERVER_FAILED", answer.awaitEnd());
    }

    private void assertCut(long bytes) throws Exception {
        final EndlessServer.Taken taken = endless.awaitClosed();
        assertTrue(taken.bytes() <= bytes + BUFFERED_BYTES, "taken: " + taken);
        assertTrue(taken.millis() <= CUT_MILLIS, "taken: " + taken);
    }

    @Nested
    class WholeAnswers {
        @Test
        void largestAllowedIsForwardedWhole() throws Exception {
            use(RouteKind.NON_IDEMPOTENT, "HTTP/1.1 200 OK\r\n\r\n", "x");
            addSound();
            fixture.occupy("endless", 2 * SLOTS);
            final String body = "y".repeat((int) AnswerMemory.MAXIMUM_ANSWER_BYTES);
            final ForwardingFixture.RecordedAnswer answer = fixture.start();

            sound.awaitRequest().answer(200, "", body);

            assertEquals("200 " + body, answer.awaitEnd());
            assertEquals(0, fixture.answerBytes());
        }

        @Test
        void withoutLengthIsCutAndFailed() throws Exception {
            use(RouteKind.NON_IDEMPOTENT, "HTTP/1.1 200 OK\r\n\r\n", "x");

            assertRefusedAndCut(AnswerMemory.MAXIMUM_ANSWER_BYTES);
            assertEquals(0, fixture.answerBytes());
        }

        @Test
        void inChunksIsCutAndFailed() throws Exception {
            use(RouteKind.NON_IDEMPOTENT, "HTTP/1.1 200 OK\r\n" + CHUNKED, CHUNK_OF_X);

            assertRefusedAndCut(AnswerMemory.MAXIMUM_ANSWER_BYTES);
        }

        @Test
        void goesToAnotherBackendServerWhereAllowed() throws Exception {
            use(RouteKind.IDEMPOTENT, "HTTP/1.1 200 OK\r\n\r\n", "x");
            addSound();
            final ForwardingFixture.RecordedAnswer answer = fixture.start();

            sound.awaitRequest().answer(200, "", "whole");

            assertEquals("200 whole", answer.awaitEnd());
            assertCut(AnswerMemory.MAXIMUM_ANSWER_BYTES);
        }

        @Test
        void manyAtOnceStayWithinTheSumAndLeaveRoomForOthers() throws Exception {
            use(RouteKind.NON_IDEMPOTENT, "HTTP/1.1 200 OK\r\n" + CHUNKED, CHUNK_OF_X);
            final List<ForwardingFixture.RecordedAnswer> answers = new ArrayList<>();
            for (int request = 0; request < SLOTS / 2; request++) {
                answers.add(fixture.start());
            }
            for (ForwardingFixture.RecordedAnswer answer : answers) {
                assertEquals("refused BACKEND_SERVER_FAILED", answer.awaitEnd());
            }
            assertTrue(
                    fixture.highestAnswerBytes() <= AnswerMemory.MAXIMUM_BYTES,
                    "highest: " + fixture.highestAnswerBytes());
            assertEquals(0, fixture.answerBytes());
        }
    }

    @Nested
    class AnswersDecidedByTheirHead {
        @Test
        void notRunAnswerWithoutEndIsSentElsewhereAtOnce() throws Exception {
            use(
                    RouteKind.NON_IDEMPOTENT,
                    "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n" + CHUNKED,
                    CHUNK_OF_X);
            addSound();
            final ForwardingFixture.RecordedAnswer answer = fixture.start();

            sound.awaitRequest().answer(200, "", "whole");

            assertEquals("200 whole", answer.awaitEnd());
            assertCut(1 << 20);
        }

        @Test
        void unsignedAnswerWithoutEndIsFailedAtOnce() throws Exception {
            use(RouteKind.NON_IDEMPOTENT, "HTTP/1.1 200 OK\r\nUnsigned: 1\r\n\r\n", "x");

            assertRefusedAndCut(1 << 20);
        }

        @Test
        void notRunAnswerThatStallsIsSentElsewhereAtOnceAndClosedSoon() throws Exception {
            use(RouteKind.NON_IDEMPOTENT, "", "x");
            try (StandInServer stalling = StandInServer.start("stalling")) {
                fixture.announce(stalling, SLOTS);
                addSound();
                fixture.occupy("endless", 2 * SLOTS);
                final ForwardingFixture.RecordedAnswer answer = fixture.start();
                final StandInServer.Exchange stalled = stalling.awaitRequest();

                stalled.write("HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 9\r\n\r\nbusy");
                sound.awaitRequest().answer(200, "", "whole");

                assertEquals("200 whole", answer.awaitEnd());
                stalled.awaitClosed();
            }
        }

        @Test
        void connectionOfNotRunAnswerIsUsedAgainWhenItsShortBodyFollowsLater() throws Exception {
            use(RouteKind.NON_IDEMPOTENT, "", "x");
            fixture.nameRequestsApart();
            addSound();
            fixture.occupy("endless", 2 * SLOTS);
            final ForwardingFixture.RecordedAnswer refused = fixture.start();
            final StandInServer.Exchange connection = sound.awaitRequest();
            connection.write(
                    "HTTP/1.1 503 Busy\r\nRequest-Id: request-1\r\nNot-Run: 1\r\n"
                            + "Content-Length: 4\r\n\r\n");
            assertEquals("refused QUEUE_FULL", refused.awaitEnd());

            connection.write("busy");
            connection.awaitNextRequest(fixture);
        }
    }

    @Nested
    class ForeignAnswers {
        @Test
        void ownAnswerMayComeLongAfterForeignOne() throws Exception {
            use(RouteKind.NON_IDEMPOTENT, "", "x");
            addSound();
            fixture.occupy("endless", 2 * SLOTS);
            final ForwardingFixture.RecordedAnswer answer = fixture.start();
            final StandInServer.Exchange exchange = sound.awaitRequest();

            exchange.write("HTTP/1.1 200 OK\r\nRequest-Id: another\r\nContent-Length: 1\r\n\r\nx");
            fixture.passOnLoop(CUT_MILLIS + 500);
            exchange.answer(200, "Request-Id: request\r\n", "own");

            assertEquals("200 own", answer.awaitEnd());
        }

        @Test
        void foreignAnswerInChunksWithoutEndIsCut() throws Exception {
            use(
                    RouteKind.NON_IDEMPOTENT,
                    "HTTP/1.1 200 OK\r\nRequest-Id: another\r\n" + CHUNKED,
                    CHUNK_OF_X);

            assertRefusedAndCut(AnswerMemory.MAXIMUM_ANSWER_BYTES);
        }

        @Test
        void foreignAnswerThatStallsIsCut() throws Exception {
            use(RouteKind.NON_IDEMPOTENT, "", "x");
            addSound();
            fixture.occupy("endless", 2 * SLOTS);
            final ForwardingFixture.RecordedAnswer answer = fixture.start();

            sound.awaitRequest()
                    .write("HTTP/1.1 200 OK\r\nRequest-Id: another\r\nContent-Length: 9\r\n\r\nx");

            assertEquals("refused BACKEND_SERVER_FAILED", answer.awaitEnd());
        }

        @Test
        void foreignAnswersWithoutEndAreCut() throws Exception {
            use(
                    RouteKind.NON_IDEMPOTENT,
                    "",
                    "HTTP/1.1 200 OK\r\nRequest-Id: another\r\nContent-Length: 0\r\n\r\n");

            assertRefusedAndCut(AnswerMemory.MAXIMUM_ANSWER_BYTES);
        }

        @Test
        void foreignAnswerThatEndsWithItsConnectionIsCut() throws Exception {
            use(RouteKind.NON_IDEMPOTENT, "HTTP/1.1 200 OK\r\nRequest-Id: another\r\n\r\n", "x");

            assertRefusedAndCut(1 << 20);
        }
    }

    @Nested
    class BytesThatAreNoBody {
        @Test
        void informationalHeadsWithoutEndAreCut() throws Exception {
            use(RouteKind.NON_IDEMPOTENT, "", "HTTP/1.1 102 Processing\r\n\r\n");

            assertRefusedAndCut(1 << 20);
        }

        @Test
        void emptyLinesWithoutEndInSmallPiecesAreCut() throws Exception {
            use(RouteKind.NON_IDEMPOTENT, "", "x");
            addSound();
            fixture.occupy("endless", 2 * SLOTS);
            final ForwardingFixture.RecordedAnswer answer = fixture.start();
            final StandInServer.Exchange exchange = sound.awaitRequest();

            assertThrows(
                    IOException.class,
                    () -> {
                        for (int piece = 0; piece < SMALL_PIECES; piece++) {
                            exchange.write("\r\n".repeat(512));
                            fixture.passOnLoop(0);
                        }
                    });

            assertEquals("refused BACKEND_SERVER_FAILED", answer.awaitEnd());
        }

        @Test
        void connectionIsClosedWhenEmptyLinesComeBetweenRequests() throws Exception {
            use(RouteKind.NON_IDEMPOTENT, "", "x");
            addSound();
            fixture.occupy("endless", 2 * SLOTS);
            final ForwardingFixture.RecordedAnswer answer = fixture.start();
            final StandInServer.Exchange exchange = sound.awaitRequest();
            exchange.write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown");
            assertEquals("200 own", answer.awaitEnd());

            exchange.write("\r\n");

            exchange.awaitClosed();
        }

        @Test
        void headerFieldWithoutEndIsCut() throws Exception {
            use(RouteKind.NON_IDEMPOTENT, "HTTP/1.1 200 OK\r\nField: ", "x");

            assertRefusedAndCut(1 << 20);
        }

        @Test
        void headerFieldsWithoutEndAreCut() throws Exception {
            use(RouteKind.NON_IDEMPOTENT, "HTTP/1.1 200 OK\r\n", "Field: x\r\n");

            assertRefusedAndCut(1 << 20);
        }

        @Test
        void emptyLinesBeforeTheHeadWithoutEndAreCut() throws Exception {
            use(RouteKind.NON_IDEMPOTENT, "", "\r\n");

            assertRefusedAndCut(1 << 20);
        }

        @Test
        void chunkExtensionsWithoutEndAreCut() throws Exception {
            use(
                    RouteKind.NON_IDEMPOTENT,
                    "HTTP/1.1 200 OK\r\n" + CHUNKED,
                    "1;extension=" + "x".repeat(3_000) + "\r\nx\r\n");

            assertRefusedAndCut(4 << 20);
        }

        @Test
        void trailersWithoutEndAreCut() throws Exception {
            use(
                    RouteKind.NON_IDEMPOTENT,
                    "HTTP/1.1 200 OK\r\n" + CHUNKED + "0\r\n",
                    "Field: x\r\n");

            assertRefusedAndCut(1 << 20);
        }
    }

    @Nested
    class Streams {
        @Test
        void oneLineWithoutEndIsCut() throws Exception {
            use(RouteKind.STREAM, "HTTP/1.1 200 OK\r\n\r\ndata: ", "x");

            assertRefusedAndCut(4 << 20);
        }

        @Test
        void eventOfShortLinesIsCut() throws Exception {
            use(RouteKind.STREAM, "HTTP/1.1 200 OK\r\n\r\n", "data: x\n");

            assertRefusedAndCut(4 << 20);
        }

        @Test
        void repeatedEventsWithoutEndAreCut() throws Exception {
            use(RouteKind.STREAM, "HTTP/1.1 200 OK\r\n\r\n", "id: 1\n\n");

            final ForwardingFixture.RecordedAnswer answer = fixture.start();
            assertCut(8 << 20);
            assertEquals("aborted after id: 1;", answer.awaitEnd());
        }

        @Test
        void manyEventsAtOnceStayWithinTheSum() throws Exception {
            use(RouteKind.STREAM, "HTTP/1.1 200 OK\r\n\r\ndata: ", "x");
            final List<ForwardingFixture.RecordedAnswer> answers = new ArrayList<>();
            for (int request = 0; request < SLOTS / 2; request++) {
                answers.add(fixture.start());
            }
            for (ForwardingFixture.RecordedAnswer answer : answers) {
                assertEquals("refused BACKEND_SERVER_FAILED", answer.awaitEnd());
            }
            assertTrue(fixture.highestAnswerBytes() > 4 << 20, "not counted");
            assertTrue(
                    fixture.highestAnswerBytes() <= AnswerMemory.MAXIMUM_BYTES,
                    "highest: " + fixture.highestAnswerBytes());
            assertEquals(0, fixture.answerBytes());
        }
    }
}
