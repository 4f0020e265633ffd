package org.crocushaven.coldstart;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * A gateway's report on a backend server that is cold, or that it doubts.
 *
 * @param backend identifier of the backend server
 * @param startedMillis Unix time of the start that the gateway knows, in milliseconds
 * @param doubtMillis time for which this gateway doubts the backend server from now on; 0 if it
 *     does not
 * @param wanted requests that it would send there
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ColdUse(String backend, long startedMillis, long doubtMillis, int wanted) {}
