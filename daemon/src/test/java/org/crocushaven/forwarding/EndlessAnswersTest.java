package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
            fixture.occupy("endless", SLOTS);
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
}
