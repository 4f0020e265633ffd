package org.crocushaven.result;

import java.time.Duration;

/** Makes the refusals of requests that an instance ends because it stops. */
public final class StopRefusals {
    /** Retry delay for callers, whom another instance can serve. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(20);

    private StopRefusals() {}

    /** Returns the refusal of a request that was not sent to a backend server. */
    public static ResultException notRun() {
        return ResultException.of(ResultCode.STOPPING).withRetryAfter(RETRY_DELAY);
    }

    /** Returns the refusal of a request that may have run on the named backend server. */
    public static ResultException mayHaveRun(String backend) {
        return ResultException.of(ResultCode.STOPPED_DURING_REQUEST, backend);
    }
}
