package org.crocushaven.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class OrderSequenceTest {
    private final OrderSequence sequence = new OrderSequence();

    @Test
    void nothingIsExpectedBeforeReport() {
        assertEquals(OptionalLong.empty(), sequence.expected());
    }

    @Test
    void eachCountedOrderIsOneMore() {
        sequence.reported(7);
        sequence.counted();

        assertEquals(OptionalLong.of(8), sequence.expected());
        assertFalse(sequence.isCurrent(7));
    }

    @Test
    void anUnansweredOrderDoesNotHoldUpTheNext() {
        sequence.reported(7);
        sequence.unanswered();

        assertEquals(OptionalLong.of(7), sequence.expected());
    }

    @Test
    void whereTheUnansweredOrderWasCarriedOutTheNextIsGivenAgainWithOneMore() {
        sequence.reported(7);
        sequence.unanswered();
        sequence.unanswered();

        assertTrue(sequence.refused());
        assertEquals(OptionalLong.of(8), sequence.expected());
        assertFalse(sequence.refused());
        assertEquals(OptionalLong.empty(), sequence.expected());
    }

    /** A late order that slipped in after a report is not in the accounts: only a report helps. */
    @Test
    void afterReportAnotherRefusalMeansThatTheCountIsNotKnown() {
        sequence.reported(7);
        sequence.unanswered();
        sequence.reported(7);

        assertFalse(sequence.refused());
        assertEquals(OptionalLong.empty(), sequence.expected());
    }

    @Test
    void afterCountedOrderNothingUnansweredCanFollow() {
        sequence.reported(7);
        sequence.unanswered();
        sequence.counted();

        assertFalse(sequence.refused());
    }
}
