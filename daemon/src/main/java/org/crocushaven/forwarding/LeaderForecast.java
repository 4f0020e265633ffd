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
    /** Time from a leader's loss to the next one's answers; 0.65 to 0.9 s measured. */
    private static final long ELECTION_MILLIS = 900;

    /** Time from a gateway's start with its whole fleet to a leader's answer; 0.65 to 1.1 s. */
    private static final long START_MILLIS = 1_100;

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
        return until(ELECTION_MILLIS, outageMillis);
    }

    /**
     * Returns the time until the first answer to a gateway that has had none.
     *
     * @param ageMillis time since its start
     */
    static Duration untilFirstAnswer(long ageMillis) {
        return until(START_MILLIS, ageMillis);
    }

    private static Duration until(long usualMillis, long passedMillis) {
        final long expected =
                passedMillis < usualMillis ? usualMillis - passedMillis : passedMillis;
        return Duration.ofMillis(Math.min(LONGEST_MILLIS, Math.max(LEAST_MILLIS, expected)));
    }

    /** Returns the time until the next answer of a leader that is not known to be lost. */
    static Duration untilNextReport() {
        return Duration.ofMillis(LEAST_MILLIS);
    }
}
