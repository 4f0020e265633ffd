package org.crocushaven.consensus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Checks the safety properties of a group over the events of all its replicas. */
final class ClusterOracle {
    private final Map<Long, String> leaders = new HashMap<>();
    private final TreeMap<Long, String> commands = new TreeMap<>();
    private final Map<String, Long> acknowledged = new HashMap<>();
    private long highestAcknowledged;
    private String firstViolation;

    /** Records a leader; election safety: a term has at most one leader. */
    void recordLeader(long term, String replica) {
        final String other = leaders.putIfAbsent(term, replica);
        require(other == null || other.equals(replica), "two leaders in term " + term);
    }

    /** Records a command; state machine safety: all replicas apply the same command at an index. */
    void recordApplied(long index, String command) {
        final String other = commands.putIfAbsent(index, command);
        require(
                other == null || other.equals(command),
                "index " + index + " changed from command " + other + " to " + command);
    }

    /** Checks that a restored state consists of the commands up to its index. */
    void checkRestored(long index, List<String> sequence) {
        final List<String> expected = new ArrayList<>(commands.headMap(index, true).values());
        require(expected.equals(sequence), "snapshot at " + index + " differs");
    }

    void recordAcknowledged(String command, long index) {
        require(acknowledged.put(command, index) == null, command + " acknowledged twice");
        highestAcknowledged = Math.max(highestAcknowledged, index);
    }

    /** Returns the number of acknowledged commands. */
    int acknowledged() {
        return acknowledged.size();
    }

    /** Checks that a replica with the leader lease has applied every acknowledged command. */
    void checkLeaseHolder(String replica, long appliedIndex) {
        require(
                appliedIndex >= highestAcknowledged,
                replica + " holds the lease but has not applied index " + highestAcknowledged);
    }

    /** Checks that the final state has all commands in order, including each acknowledged one. */
    void checkFinalSequence(List<String> sequence) {
        require(new ArrayList<>(commands.values()).equals(sequence), "final sequence differs");
        for (Map.Entry<String, Long> command : acknowledged.entrySet()) {
            require(
                    command.getKey().equals(commands.get(command.getValue())),
                    "acknowledged command lost: " + command);
        }
    }

    /**
     * Throws the first violation. Violations are recorded, since an error thrown in the callback of
     * a future would be lost.
     */
    void verify() {
        if (firstViolation != null) {
            throw new AssertionError(firstViolation);
        }
    }

    void require(boolean condition, String violation) {
        if (!condition && firstViolation == null) {
            firstViolation = violation;
        }
    }
}
