package org.crocushaven.fleet;

/** An amount that halves with each half-life. Not thread-safe. */
public final class DecayingCount {
    private final double halfLifeNanos;
    private double amount;
    private long updatedNanos;

    private DecayingCount(double halfLifeNanos) {
        this.halfLifeNanos = halfLifeNanos;
    }

    /**
     * Returns a count of zero.
     *
     * @param halfLifeNanos time in which the amount halves, in nanoseconds
     */
    public static DecayingCount withHalfLife(double halfLifeNanos) {
        return new DecayingCount(halfLifeNanos);
    }

    /** Adds to the decayed amount. */
    public void add(double added, long nowNanos) {
        set(at(nowNanos) + added, nowNanos);
    }

    /** Replaces the amount. */
    public void set(double newAmount, long nowNanos) {
        amount = newAmount;
        updatedNanos = nowNanos;
    }

    /** Returns the decayed amount at a time. */
    public double at(long nowNanos) {
        return amount * Math.pow(2, (updatedNanos - nowNanos) / halfLifeNanos);
    }
}
