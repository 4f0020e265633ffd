package org.crocushaven.fleet;

/**
 * Estimates the prompt tokens recently sent to a backend server that it may not have processed yet.
 *
 * <p>An engine pauses all its streams while it processes prompts, so the next prompt should go to
 * an engine with few pending tokens. Not thread-safe.
 */
public final class PromptBacklog {
    /**
     * Half-life of the estimate, in which an engine processes about 4,000 tokens: the platform's
     * data sheet gives 39 tokens per millisecond.
     */
    private static final double HALF_LIFE_NANOS = 100e6;

    private final DecayingCount tokens = DecayingCount.withHalfLife(HALF_LIFE_NANOS);

    /** Returns an estimate without prompts. */
    public static PromptBacklog empty() {
        return new PromptBacklog();
    }

    /** Returns how many of the tokens sent at one time may not be processed yet at a later time. */
    static double remainingOf(double sentTokens, long sentNanos, long nowNanos) {
        final PromptBacklog backlog = empty();
        backlog.addTokens(sentTokens, sentNanos);
        return backlog.remainingTokens(nowNanos);
    }

    /** Adds tokens of prompts that were sent at the given time. */
    public void addTokens(double sentTokens, long nowNanos) {
        tokens.add(sentTokens, nowNanos);
    }

    /** Returns the tokens that may not be processed yet at a time. */
    public double remainingTokens(long nowNanos) {
        return tokens.at(nowNanos);
    }
}
