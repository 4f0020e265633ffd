package org.crocushaven.fleet;

/**
 * Tokens of prompts that were sent to a backend server lately and may still be read there.
 *
 * <p>While prompts are read all streams of an engine pause, so the next prompt should go where few
 * tokens are under way. Not thread-safe.
 */
public final class PromptWork {
    /** An engine reads 39 tokens in a millisecond by the platform's sheet: 4,000 in this time. */
    private static final double HALF_LIFE_NANOS = 100e6;

    private final DecayingCount tokens = DecayingCount.withHalfLife(HALF_LIFE_NANOS);

    /** Returns a record of no prompts. */
    public static PromptWork none() {
        return new PromptWork();
    }

    /** Notes prompts that were sent now. */
    public void sent(double sentTokens, long nowNanos) {
        tokens.add(sentTokens, nowNanos);
    }

    /** Returns the tokens that may still be read at a time. */
    public double left(long nowNanos) {
        return tokens.at(nowNanos);
    }
}
