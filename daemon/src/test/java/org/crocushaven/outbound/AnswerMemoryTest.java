package org.crocushaven.outbound;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AnswerMemoryTest {
    private static final long PIECE_BYTES = 64 << 10;

    private final AnswerMemory memory = new AnswerMemory();

    /** Grows shares in turn until none can grow any more. */
    private static void fill(AnswerMemory.Share... shares) {
        long bytes = 0;
        boolean grown = true;
        while (grown) {
            grown = false;
            bytes += PIECE_BYTES;
            for (AnswerMemory.Share share : shares) {
                grown |= share.tryResize(bytes);
            }
        }
    }

    private AnswerMemory.Share share() {
        return memory.share(AnswerMemory.MAXIMUM_ANSWER_BYTES);
    }

    @Nested
    class OneAnswer {
        @Test
        void mayHaveTheLargestAllowedSizeAndNoMore() {
            final AnswerMemory.Share answer = share();

            assertTrue(answer.tryResize(AnswerMemory.MAXIMUM_ANSWER_BYTES));
            assertFalse(answer.tryResize(AnswerMemory.MAXIMUM_ANSWER_BYTES + 1));
            assertEquals(AnswerMemory.MAXIMUM_ANSWER_BYTES, memory.heldBytes());
        }

        @Test
        void returnsItsMemoryOnce() {
            final AnswerMemory.Share answer = share();
            answer.tryResize(PIECE_BYTES);

            answer.release();
            answer.release();

            assertEquals(0, memory.heldBytes());
            assertEquals(PIECE_BYTES, memory.highestBytes());
        }

        @Test
        void mayAlwaysShrink() {
            final AnswerMemory.Share[] answers = {share(), share(), share(), share()};
            fill(answers);

            assertTrue(answers[0].tryResize(PIECE_BYTES));
        }
    }

    @Nested
    class ManyAnswers {
        @Test
        void withoutEndLeaveRoomForShortOnes() {
            final AnswerMemory.Share[] endless = new AnswerMemory.Share[16];
            for (int answer = 0; answer < endless.length; answer++) {
                endless[answer] = share();
            }
            fill(endless);

            assertTrue(memory.heldBytes() <= AnswerMemory.MAXIMUM_BYTES);
            assertTrue(share().tryResize(1 << 20));
        }

        @Test
        void besideOneOfTheLargestAllowedSizeMayHaveHalfOfThat() {
            assertTrue(share().tryResize(AnswerMemory.MAXIMUM_ANSWER_BYTES));
            assertTrue(share().tryResize(AnswerMemory.MAXIMUM_ANSWER_BYTES / 2));
        }
    }
}
