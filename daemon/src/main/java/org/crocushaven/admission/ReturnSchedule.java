package org.crocushaven.admission;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/**
 * Tells the refused requests of one organisation that take up streams when to come back, one after
 * the other over all holders, so that they do not use up their callers' tries while the tokens
 * suffice for a few of them. They have no time to the first event to keep any more.
 *
 * <p>Nothing is reserved for a request that is expected back. Not thread-safe.
 */
final class ReturnSchedule {
    /** Fraction of the organisation's rate that is planned for them; the rest is for others. */
    private static final double RATE_FRACTION = 0.5;

    /** Longest delay that is added; callers seldom wait longer for an answer to begin. */
    private static final long MAXIMUM_DELAY_NANOS = TimeUnit.SECONDS.toNanos(3);

    private static final double NANOS_PER_SECOND = 1e9;

    private final PriorityQueue<ExpectedReturn> expected =
            new PriorityQueue<>(Comparator.comparingLong(ExpectedReturn::dueNanos));
    private double tokensHere;
    private double tokensElsewhere;
    private long toldNanos;

    /** Records the tokens of the requests that other holders expect back. */
    void setTokensElsewhere(double tokens, long nowNanos) {
        tokensElsewhere = tokens;
        toldNanos = nowNanos;
    }

    /**
     * Returns the delay after which a refused request should come back, which is expected then.
     *
     * @param earliestNanos delay before which there are no tokens for it
     * @param organisationRate tokens per second of the organisation; 0 if unknown
     */
    long nextDelayNanos(long tokens, long earliestNanos, double organisationRate, long nowNanos) {
        final double perSecond = organisationRate * RATE_FRACTION;
        if (perSecond <= 0) {
            return earliestNanos;
        }
        final double elapsedSeconds = (nowNanos - toldNanos) / NANOS_PER_SECOND;
        final double elsewhere = Math.max(0, tokensElsewhere - perSecond * elapsedSeconds);
        final double ahead = tokensHere(nowNanos) + elsewhere;
        final long queuedNanos =
                (long) Math.min(MAXIMUM_DELAY_NANOS, ahead * NANOS_PER_SECOND / perSecond);
        final long delayNanos =
                Math.max(earliestNanos, Math.min(MAXIMUM_DELAY_NANOS, earliestNanos + queuedNanos));
        expected.add(new ExpectedReturn(nowNanos + delayNanos, tokens));
        tokensHere += tokens;
        return delayNanos;
    }

    /** Returns the tokens of the requests that this holder expects back. */
    double tokensHere(long nowNanos) {
        while (!expected.isEmpty() && nowNanos - expected.peek().dueNanos() >= 0) {
            tokensHere -= expected.remove().tokens();
        }
        return tokensHere;
    }

    private record ExpectedReturn(long dueNanos, long tokens) {}
}
