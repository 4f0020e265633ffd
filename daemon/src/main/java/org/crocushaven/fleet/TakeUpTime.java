package org.crocushaven.fleet;

import java.util.concurrent.TimeUnit;

/**
 * Says for how long after its first event a client may take a stream up, from the time for which
 * one answer may last.
 *
 * <p>Each try of the client may last so long anew, and a configuration that shortens the time binds
 * none of those under way. So the longest time of all configurations counts, twice, and a minute at
 * least. Not thread-safe.
 */
public final class TakeUpTime {
    private static final long TRIES = 2;
    private static final long MINIMUM_MILLIS = TimeUnit.MINUTES.toMillis(1);

    private long longestMillis;

    /**
     * Returns the time, in milliseconds, under all configurations so far and one more.
     *
     * @param longestStreamMillis longest time for which an answer may last under that one
     */
    public long millisWith(long longestStreamMillis) {
        longestMillis = Math.max(longestMillis, longestStreamMillis);
        return Math.max(MINIMUM_MILLIS, TRIES * longestMillis);
    }
}
