package org.crocushaven.forwarding;

import java.time.Duration;

/**
 * Foretells when the leader will answer again, so that callers who are refused meanwhile come back
 * when they can be served, and not before.
 *
 * <p>Answers the load after a leader or a whole fleet was lost: clients repeat once or twice only,
 * so one who is told to come back too early is lost.
 */
final class LeaderForecast {
    /** Time from a leader's loss, or a fleet's start, to the next one's answers; 0.65 to 0.9 s. */
    private static final long ELECTION_MILLIS = 900;

    /** Least time told; a lost report is sent again within it. */
    private static final long LEAST_MILLIS = 200;

    /** Longest time told; clients wait a third of what they have left, 6.7 s at most. */
    private static final long LONGEST_MILLIS = 4_000;

    private LeaderForecast() {}

    /**
     * Returns the time until the leader answers again.
     *
     * <p>A loss that lasts longer than an election is a cut, of which nothing is known but its
     * length so far; it is expected to last as long again.
     *
     * @param outageMillis time for which the leader has not answered
     */
    static Duration untilAnswer(long outageMillis) {
        final long expected =
                outageMillis < ELECTION_MILLIS ? ELECTION_MILLIS - outageMillis : outageMillis;
        return Duration.ofMillis(Math.min(LONGEST_MILLIS, Math.max(LEAST_MILLIS, expected)));
    }

    /** Returns the time until the next answer of a leader that is not known to be lost. */
    static Duration untilNextReport() {
        return Duration.ofMillis(LEAST_MILLIS);
    }
}
