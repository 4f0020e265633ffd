package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * A gateway's report on a backend server that names a limit, or named one shortly before.
 *
 * @param statement what the backend server said last, as far as the gateway knows
 * @param wanted number of requests that the gateway would send there
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record LimitUse(LimitStatement statement, int wanted) {}
