package org.crocushaven.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class OrderSequenceTest {
    private final OrderSequence sequence = new OrderSequence();

    @Test
    void noCountIsExpectedBeforeTheFirstReport() {
        assertEquals(OptionalLong.empty(), sequence.expected());
    }

    @Test
    void aCountedOrderIncreasesTheExpectedCount() {
        sequence.reported(7);
        sequence.counted();

        assertEquals(OptionalLong.of(8), sequence.expected());
        assertFalse(sequence.isCurrent(7));
    }

    @Test
    void anUnansweredOrderLeavesTheExpectedCountUnchanged() {
        sequence.reported(7);
        sequence.unanswered();

        assertEquals(OptionalLong.of(7), sequence.expected());
    }

    @Test
    void aRefusalAfterUnansweredOrdersIncreasesTheExpectedCountOnce() {
        sequence.reported(7);
        sequence.unanswered();
        sequence.unanswered();

        assertTrue(sequence.refused());
        assertEquals(OptionalLong.of(8), sequence.expected());
        assertFalse(sequence.refused());
        assertEquals(OptionalLong.empty(), sequence.expected());
    }

    /**
     * If an unanswered order is carried out only after a report, the next order is refused, and the
     * count is unknown until another report.
     */
    @Test
    void aRefusalAfterReportMakesTheCountUnknown() {
        sequence.reported(7);
        sequence.unanswered();
        sequence.reported(7);

        assertFalse(sequence.refused());
        assertEquals(OptionalLong.empty(), sequence.expected());
    }

    @Test
    void aCountedOrderRulesOutEarlierUnansweredOnes() {
        sequence.reported(7);
        sequence.unanswered();
        sequence.counted();

        assertFalse(sequence.refused());
    }
}
