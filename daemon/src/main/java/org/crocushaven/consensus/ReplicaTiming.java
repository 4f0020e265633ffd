package org.crocushaven.consensus;

import java.util.concurrent.TimeUnit;

/**
 * Timeouts and intervals of a replica, in milliseconds.
 *
 * <p>The lease is shorter than the minimum election timeout; the difference is the tolerated clock
 * drift within that time. The lease starts when a heartbeat is sent and the election timeout when
 * it is received, so the lease never starts later.
 *
 * @param heartbeatMillis interval between two heartbeats of a leader
 * @param leaseMillis time after the sending of a heartbeat, answered by a majority, in which no
 *     other replica can lead
 * @param minimumElectionMillis minimum election timeout, in which a replica that heard from a
 *     leader refuses votes
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
    public static final ReplicaTiming QUICK = new ReplicaTiming(80, 350, 420, 800, 250);

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
