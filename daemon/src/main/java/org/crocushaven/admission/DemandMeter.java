package org.crocushaven.admission;

/** Exponentially decaying estimate of tokens per second. Not thread-safe. */
final class DemandMeter {
    private static final double TIME_CONSTANT_NANOS = 1e9;
    private static final double NANOS_PER_SECOND = 1e9;

    private double decayedTokens;
    private long updatedNanos;

    /** Adds tokens that were asked for. */
    void add(double tokens, long nowNanos) {
        decay(nowNanos);
        decayedTokens += tokens;
    }

    /** Returns the estimate in tokens per second. */
    double tokensPerSecond(long nowNanos) {
        decay(nowNanos);
        return decayedTokens * NANOS_PER_SECOND / TIME_CONSTANT_NANOS;
    }

    private void decay(long nowNanos) {
        final long elapsed = nowNanos - updatedNanos;
        if (elapsed > 0) {
            decayedTokens *= Math.exp(-elapsed / TIME_CONSTANT_NANOS);
            updatedNanos = nowNanos;
        }
    }
}
