package org.crocushaven.bench.standin;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Selects the faults that a stand-in plain service injects.
 *
 * @param refuse whether calls are refused with status 503 as not run
 * @param cutBeforeRun whether the connection is closed without running the call
 * @param failAfterRun whether the call runs and is answered with status 500
 * @param cutAfterRun whether the call runs and the connection is closed without an answer
 * @param answerDelayMillis delay between the run and the answer, in milliseconds
 */
public record PlainServiceFaults(
        boolean refuse,
        boolean cutBeforeRun,
        boolean failAfterRun,
        boolean cutAfterRun,
        long answerDelayMillis) {
    /** Returns settings that inject no faults. */
    public static PlainServiceFaults none() {
        return new PlainServiceFaults(false, false, false, false, 0);
    }

    /** Reads the faults from the body of a request; an absent field injects no fault. */
    public static PlainServiceFaults from(JsonNode body) {
        return new PlainServiceFaults(
                body.path("refuse").asBoolean(),
                body.path("cut_before_run").asBoolean(),
                body.path("fail_after_run").asBoolean(),
                body.path("cut_after_run").asBoolean(),
                body.path("answer_delay_millis").asLong());
    }
}
