package org.crocushaven.forwarding;

import java.time.Duration;

/**
 * Estimates when the leader will answer again, so that refused clients retry when they can be
 * served and not before.
 *
 * <p>Clients retry only once or twice, so after the loss of a leader or of the whole fleet a client
 * that retries too early fails.
 */
final class LeaderReturnEstimate {
    /** Time from the loss of a leader to the next leader's answers, which takes 0.65 to 0.9 s. */
    private static final long ELECTION_MILLIS = 900;

    /**
     * Time from the start of a gateway together with the whole fleet to a leader's answer, which
     * takes 0.65 to 1.1 s.
     */
    private static final long FIRST_ANSWER_MILLIS = 1_100;

    /**
     * Minimum delay; longer than the time until a report that was brought forward is sent, unless
     * an earlier one is still unanswered.
     */
    private static final long MINIMUM_MILLIS = 200;

    /** Maximum delay; clients wait for a third of their remaining time, at most 6.7 s. */
    private static final long MAXIMUM_MILLIS = 4_000;

    private LeaderReturnEstimate() {}

    /**
     * Returns the estimated time until the leader answers again.
     *
     * <p>An outage that lasts longer than an election is a network partition. Only its duration so
     * far is known, so it is expected to last as long again.
     *
     * @param outageMillis time since the leader's last answer
     */
    static Duration untilAnswer(long outageMillis) {
        return until(ELECTION_MILLIS, outageMillis);
    }

    /**
     * Returns the estimated time until the first answer to a gateway that has received none.
     *
     * @param sinceStartMillis time since the gateway's start
     */
    static Duration untilFirstAnswer(long sinceStartMillis) {
        return until(FIRST_ANSWER_MILLIS, sinceStartMillis);
    }

    private static Duration until(long usualMillis, long passedMillis) {
        final long expected =
                passedMillis < usualMillis ? usualMillis - passedMillis : passedMillis;
        return Duration.ofMillis(Math.min(MAXIMUM_MILLIS, Math.max(MINIMUM_MILLIS, expected)));
    }

    /**
     * Returns the estimated time until the next answer of a leader that is not known to be lost.
     */
    static Duration untilNextAnswer() {
        return Duration.ofMillis(MINIMUM_MILLIS);
    }
}
