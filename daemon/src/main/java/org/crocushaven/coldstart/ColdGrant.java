package org.crocushaven.coldstart;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * The leader's statement that a backend server is cold.
 *
 * @param backend identifier of the backend server
 * @param startedMillis Unix time of its start, in milliseconds
 * @param remainingMillis time for which it still is cold
 * @param requests requests that the gateway may send there within {@link
 *     ColdStartBound#GRANT_VALID_MILLIS} of its report
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ColdGrant(String backend, long startedMillis, long remainingMillis, int requests) {}
