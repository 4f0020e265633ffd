package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * What one start of a backend server said last of the requests that it takes.
 *
 * @param backend identifier of the backend server
 * @param startedMillis Unix time of the start, in milliseconds
 * @param perSecond requests a second that it takes of all instances together; negative if it names
 *     no limit
 * @param ageMillis time since it said so, in milliseconds
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record LimitStatement(String backend, long startedMillis, double perSecond, long ageMillis) {
    /** Stands for a backend server that names no limit. */
    public static final double NO_LIMIT = -1;

    /**
     * Rate at which requests go to a backend server that names a lower limit: an answer is how one
     * learns that it takes more.
     */
    public static final double LOWEST_RATE_PER_SECOND = 0.1;

    /** Returns whether it names a limit. */
    @JsonIgnore
    public boolean isLimit() {
        return perSecond >= 0;
    }
}
