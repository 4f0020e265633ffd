package org.crocushaven.bench.standin;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Selects the faults that a stand-in engine injects.
 *
 * @param failLoads whether every load fails
 * @param wrongEcho whether answers name another model than the requested one
 * @param stalled whether the batch makes no steps
 * @param cutAfterTokens generated tokens after which a request's connection is closed; 0 for never
 * @param slowFactor factor on the duration of every batch step, at least 1
 * @param refuse whether every generation request is refused as not run
 */
public record EngineFaults(
        boolean failLoads,
        boolean wrongEcho,
        boolean stalled,
        int cutAfterTokens,
        int slowFactor,
        boolean refuse) {
    /** Returns settings that inject no faults. */
    public static EngineFaults none() {
        return new EngineFaults(false, false, false, 0, 1, false);
    }

    /** Reads the faults from the body of a request; an absent field injects no fault. */
    public static EngineFaults from(JsonNode body) {
        return new EngineFaults(
                body.path("fail_loads").asBoolean(),
                body.path("wrong_echo").asBoolean(),
                body.path("stall").asBoolean(),
                body.path("cut_after_tokens").asInt(),
                Math.max(1, body.path("slow_factor").asInt(1)),
                body.path("refuse").asBoolean());
    }
}
