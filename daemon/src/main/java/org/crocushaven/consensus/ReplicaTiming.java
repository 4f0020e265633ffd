package org.crocushaven.consensus;

import java.util.concurrent.TimeUnit;

/**
 * Timeouts and intervals of a replica, in milliseconds.
 *
 * <p>The lease is shorter than the minimum election timeout; the difference is the clock drift that
 * is tolerated during that timeout. The lease starts when a heartbeat is sent and the election
 * timeout when it is received, so the lease never starts later.
 *
 * @param heartbeatMillis interval between two heartbeats of a leader
 * @param leaseMillis duration of the lease: no other replica can lead for this time after a
 *     heartbeat was sent that a majority answered
 * @param minimumElectionMillis minimum election timeout; a replica refuses votes for this time
 *     after it received a message from a leader
 * @param maximumElectionMillis maximum election timeout
 * @param resendMillis time after which unanswered requests are sent again
 */
public record ReplicaTiming(
        long heartbeatMillis,
        long leaseMillis,
        long minimumElectionMillis,
        long maximumElectionMillis,
        long resendMillis) {
    /** Intervals for network latencies of a few milliseconds. */
    public static final ReplicaTiming DEFAULT = new ReplicaTiming(100, 500, 600, 1_200, 300);

    /** Intervals with faster failover, for network latencies of a few milliseconds. */
    public static final ReplicaTiming FAST_FAILOVER = new ReplicaTiming(80, 350, 420, 800, 250);

    /**
     * Checks that heartbeat, lease, minimum and maximum election timeout increase in this order.
     */
    public ReplicaTiming {
        if (heartbeatMillis <= 0
                || leaseMillis <= heartbeatMillis
                || minimumElectionMillis <= leaseMillis
                || maximumElectionMillis <= minimumElectionMillis) {
            throw new IllegalArgumentException(
                    "expected 0 < heartbeat < lease < minimum election < maximum election");
        }
    }

    long heartbeatNanos() {
        return TimeUnit.MILLISECONDS.toNanos(heartbeatMillis);
    }

    long leaseNanos() {
        return TimeUnit.MILLISECONDS.toNanos(leaseMillis);
    }

    long minimumElectionNanos() {
        return TimeUnit.MILLISECONDS.toNanos(minimumElectionMillis);
    }

    long maximumElectionNanos() {
        return TimeUnit.MILLISECONDS.toNanos(maximumElectionMillis);
    }

    long resendNanos() {
        return TimeUnit.MILLISECONDS.toNanos(resendMillis);
    }
}
