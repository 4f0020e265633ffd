package org.crocushaven.membership;

/**
 * Intervals of failure detection between instances.
 *
 * @param probeIntervalMillis time between two probes by one instance, in milliseconds
 * @param probeTimeoutMillis time within which a probe must be answered, in milliseconds
 * @param suspicionMillis time from suspicion until the instance counts as crashed, in milliseconds
 * @param forgetMillis time after which a stopped or crashed instance is removed, in milliseconds
 */
public record MembershipSettings(
        long probeIntervalMillis,
        long probeTimeoutMillis,
        long suspicionMillis,
        long forgetMillis) {
    public static final long DEFAULT_PROBE_INTERVAL_MILLIS = 200;
    public static final long DEFAULT_PROBE_TIMEOUT_MILLIS = 500;
    public static final long DEFAULT_SUSPICION_MILLIS = 1_500;
    public static final long DEFAULT_FORGET_MILLIS = 3_600_000;

    /** Returns the default intervals. */
    public static MembershipSettings defaults() {
        return new MembershipSettings(
                DEFAULT_PROBE_INTERVAL_MILLIS,
                DEFAULT_PROBE_TIMEOUT_MILLIS,
                DEFAULT_SUSPICION_MILLIS,
                DEFAULT_FORGET_MILLIS);
    }
}
