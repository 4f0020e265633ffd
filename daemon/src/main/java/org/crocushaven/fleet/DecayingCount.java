package org.crocushaven.fleet;

/** An amount of which half is left after each half-life. Not thread-safe. */
public final class DecayingCount {
    private final double halfLifeNanos;
    private double amount;
    private long updatedNanos;

    private DecayingCount(double halfLifeNanos) {
        this.halfLifeNanos = halfLifeNanos;
    }

    /**
     * Returns a count of nothing.
     *
     * @param halfLifeNanos time in which half of the amount is forgotten
     */
    public static DecayingCount withHalfLife(double halfLifeNanos) {
        return new DecayingCount(halfLifeNanos);
    }

    /** Adds to what is left now. */
    public void add(double added, long nowNanos) {
        set(at(nowNanos) + added, nowNanos);
    }

    /** Replaces what is left now. */
    public void set(double newAmount, long nowNanos) {
        amount = newAmount;
        updatedNanos = nowNanos;
    }

    /** Returns what is left at a time. */
    public double at(long nowNanos) {
        return amount * Math.pow(2, (updatedNanos - nowNanos) / halfLifeNanos);
    }
}
