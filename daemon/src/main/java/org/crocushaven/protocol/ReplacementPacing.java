package org.crocushaven.protocol;

import java.util.concurrent.TimeUnit;

/**
 * Spaces out the replacements of a connection: each one that brings nothing either, as with a peer
 * that hangs, doubles the time until the next. Not thread-safe.
 */
final class ReplacementPacing {
    private static final long SHORTEST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long LONGEST_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(30);

    private long pauseNanos;
    private long replacedNanos;

    /** Records that a connection has replaced one on which something had arrived, or nothing. */
    void replaced(boolean hadReceived, long nowNanos) {
        replacedNanos = nowNanos;
        pauseNanos =
                hadReceived
                        ? SHORTEST_PAUSE_NANOS
                        : Math.min(
                                LONGEST_PAUSE_NANOS,
                                Math.max(SHORTEST_PAUSE_NANOS, 2 * pauseNanos));
    }

    /** Returns whether the next replacement is due. */
    boolean isDue(long nowNanos) {
        return pauseNanos == 0 || nowNanos - replacedNanos >= pauseNanos;
    }
}
