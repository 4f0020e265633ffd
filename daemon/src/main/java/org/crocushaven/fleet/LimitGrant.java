package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * The leader's answer on a backend server that names a limit, or named one shortly before.
 *
 * @param statement what the backend server said last to any gateway
 * @param requests number of requests that the gateway may send there within {@link #VALID_MILLIS}
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record LimitGrant(LimitStatement statement, int requests) {
    /** Time after which requests that were granted and not sent are lost, in milliseconds. */
    public static final long VALID_MILLIS = 1_000;
}
