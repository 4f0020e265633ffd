package org.crocushaven.consensus;

import java.util.concurrent.TimeUnit;

/**
 * Intervals of a replica.
 *
 * <p>The lease is shorter than the minimum election timeout by the margin that clocks may drift
 * apart within it; both count from no later than when the follower received the heartbeat.
 *
 * @param heartbeatMillis between two heartbeats of a leader
 * @param leaseMillis how long a heartbeat that a majority answered proves that no other replica
 *     leads
 * @param minimumElectionMillis how long a replica that heard from a leader refuses votes
 * @param maximumElectionMillis how long a replica waits at most before it stands for election
 * @param resendMillis when unanswered entries are sent again
 */
public record ReplicaTiming(
        long heartbeatMillis,
        long leaseMillis,
        long minimumElectionMillis,
        long maximumElectionMillis,
        long resendMillis) {
    /** Intervals for links of a few milliseconds. */
    public static final ReplicaTiming DEFAULT = new ReplicaTiming(100, 500, 600, 1_200, 300);

    /** Intervals that replace a lost leader sooner, for links of a few milliseconds. */
    public static final ReplicaTiming QUICK = new ReplicaTiming(80, 350, 420, 800, 250);

    /** Checks the order of the intervals. */
    public ReplicaTiming {
        if (heartbeatMillis <= 0
                || leaseMillis <= heartbeatMillis
                || minimumElectionMillis <= leaseMillis
                || maximumElectionMillis <= minimumElectionMillis) {
            throw new IllegalArgumentException("intervals out of order");
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
