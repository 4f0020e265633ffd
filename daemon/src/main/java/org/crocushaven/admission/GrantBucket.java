package org.crocushaven.admission;

/**
 * Hands whole requests out at a rate to those who ask in turn.
 *
 * <p>Begins empty. Each gets at most half of what is there, so that others get some too. Not
 * thread-safe.
 */
public final class GrantBucket {
    private final double keptSeconds;
    private final TokenBucket tokens;

    private GrantBucket(double perSecond, double keptSeconds, long nowNanos) {
        this.keptSeconds = keptSeconds;
        this.tokens = TokenBucket.create(perSecond, capacity(perSecond), 0, nowNanos);
    }

    /**
     * Returns an empty bucket.
     *
     * @param perSecond requests that are handed out a second; 0 for none
     * @param keptSeconds seconds of that rate that are kept for those who ask next
     */
    public static GrantBucket empty(double perSecond, double keptSeconds, long nowNanos) {
        return new GrantBucket(perSecond, keptSeconds, nowNanos);
    }

    /** Changes the rate. */
    public void setRate(double perSecond, long nowNanos) {
        tokens.resize(perSecond, capacity(perSecond), nowNanos);
    }

    /** Takes up to the wanted number of requests. */
    public int take(int wanted, long nowNanos) {
        final double level = tokens.level(nowNanos);
        final int taken = (int) Math.min(wanted, Math.max(Math.min(1, level), level / 2));
        return taken > 0 && tokens.tryTake(taken, nowNanos) ? taken : 0;
    }

    private double capacity(double perSecond) {
        return perSecond > 0 ? Math.max(1, keptSeconds * perSecond) : 0;
    }
}
