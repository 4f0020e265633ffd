package org.crocushaven.admission;

/**
 * A token bucket that is filled at a rate up to a capacity.
 *
 * <p>The level may fall below zero through {@link #withdrawUnconditionally} and {@link
 * #drainIntoDebt}; no tokens can be taken until it is positive again. Not thread-safe.
 */
public final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private double tokensPerSecond;
    private double capacity;
    private double level;
    private long updatedNanos;

    private TokenBucket(double tokensPerSecond, double capacity, double level, long nowNanos) {
        this.tokensPerSecond = requireAmount(tokensPerSecond, "tokensPerSecond");
        this.capacity = requireAmount(capacity, "capacity");
        this.level = Math.min(level, capacity);
        this.updatedNanos = nowNanos;
    }

    /** Returns a bucket with the given rate, capacity and initial level. */
    public static TokenBucket create(
            double tokensPerSecond, double capacity, double level, long nowNanos) {
        return new TokenBucket(tokensPerSecond, capacity, level, nowNanos);
    }

    /** Takes the given amount and returns true if the level is sufficient. */
    public boolean tryTake(double amount, long nowNanos) {
        advance(nowNanos);
        if (amount > level) {
            return false;
        }
        level -= amount;
        return true;
    }

    /** Takes the given amount even when the level falls below zero. */
    public void withdrawUnconditionally(double amount, long nowNanos) {
        advance(nowNanos);
        level -= amount;
    }

    /** Adds tokens and returns the part that exceeds the capacity and was not added. */
    public double add(double amount, long nowNanos) {
        advance(nowNanos);
        final double accepted = Math.max(0, Math.min(amount, capacity - level));
        level += accepted;
        return amount - accepted;
    }

    /**
     * Changes rate and capacity, and removes and returns the tokens in excess of the new capacity.
     */
    public double resize(double newTokensPerSecond, double newCapacity, long nowNanos) {
        advance(nowNanos);
        tokensPerSecond = requireAmount(newTokensPerSecond, "tokensPerSecond");
        capacity = requireAmount(newCapacity, "capacity");
        final double excess = Math.max(0, level - capacity);
        level -= excess;
        return excess;
    }

    /** Removes and returns up to the given amount. */
    public double drain(double atMost, long nowNanos) {
        advance(nowNanos);
        final double taken = Math.max(0, Math.min(atMost, level));
        level -= taken;
        return taken;
    }

    /**
     * Removes and returns up to the given amount if the level is positive. The amount removed may
     * exceed the level by the given debt.
     *
     * @param maximumDebt maximum amount by which the level may fall below zero
     */
    public double drainIntoDebt(double atMost, double maximumDebt, long nowNanos) {
        advance(nowNanos);
        final double taken = level > 0 ? Math.min(atMost, level + maximumDebt) : 0;
        level -= taken;
        return taken;
    }

    /** Returns the level at the given time. */
    public double level(long nowNanos) {
        advance(nowNanos);
        return level;
    }

    /** Returns the rate in tokens per second. */
    public double tokensPerSecond() {
        return tokensPerSecond;
    }

    /** Returns the maximum number of tokens in the bucket. */
    public double capacity() {
        return capacity;
    }

    private void advance(long nowNanos) {
        final long elapsed = nowNanos - updatedNanos;
        if (elapsed <= 0) {
            return;
        }
        level = Math.min(capacity, level + elapsed * (tokensPerSecond / NANOS_PER_SECOND));
        updatedNanos = nowNanos;
    }

    private static double requireAmount(double amount, String name) {
        if (!(amount >= 0) || Double.isInfinite(amount)) {
            throw new IllegalArgumentException(name + " must be finite and at least 0: " + amount);
        }
        return amount;
    }
}
