package org.crocushaven.observability;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class EventLineTest {
    @Test
    void keepsOrderAndQuotesValuesWithBlanksAndEmptyValues() {
        assertEquals(
                "event=route request=r1 reason=\"queue is short\" empty=\"\" tokens=7",
                EventLine.of("route")
                        .with("request", "r1")
                        .with("reason", "queue is short")
                        .with("empty", "")
                        .with("tokens", 7)
                        .toString());
    }

    @Test
    void valuesCannotForgePairsOrLines() {
        assertEquals(
                "event=x name=\"a\\\" b=c\\nevent=y\\u0000\\u2028\\\\\"",
                EventLine.of("x").with("name", "a\" b=c\nevent=y\0\u2028\\").toString());
    }
}
