package org.crocushaven.consensus;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** A replicated log and its state machine, as seen by an instance that hosts a replica. */
public interface ReplicatedGroup extends AutoCloseable {
    /** Returns the number of the group. */
    int groupId();

    /**
     * Proposes a command; completes with the state machine's result once it is committed, synced by
     * a majority and applied here.
     *
     * <p>Fails with {@code NOT_LEADER} or {@code NO_QUORUM} when the command is certainly not
     * committed, with {@code PROPOSAL_OUTCOME_UNKNOWN} when it may still be committed.
     */
    CompletableFuture<byte[]> propose(byte[] command);

    /** Returns the name of the known leader. */
    Optional<String> leader();

    /** Returns the current term. */
    long term();

    /** Returns whether this instance is leader and holds the lease that a majority confirmed. */
    boolean holdsLeaderLease();

    /**
     * Returns when this instance became leader, on the monotonic clock; 0 when it is not the
     * leader.
     */
    long leaderSinceNanos();

    /** Returns the index of the last applied command. */
    long appliedIndex();

    /** Returns the names of the voters. */
    List<String> voters();

    /** Adds an instance as a learner first and, once it has caught up and synced, as a voter. */
    CompletableFuture<Void> addVoter(String instance);

    /** Removes a voter. */
    CompletableFuture<Void> removeVoter(String instance);

    @Override
    void close();
}
