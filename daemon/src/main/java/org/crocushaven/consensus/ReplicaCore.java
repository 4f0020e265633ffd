package org.crocushaven.consensus;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.crocushaven.consensus.ReplicaState.Role;
import org.crocushaven.storage.EntryKind;
import org.crocushaven.storage.RecoveredState;
import org.crocushaven.storage.SnapshotImage;

/**
 * Implements one replica of a replicated log without I/O: its inputs are messages, proposals and
 * the time, its output says what to send, store and apply.
 *
 * <p>Used from one thread. After one or more inputs, the caller takes the output and executes it.
 * If the output awaits a sync, {@link #onSynced} must be called before any other input.
 */
public final class ReplicaCore {
    private final ReplicaState state;
    private final Elections elections;
    private final FollowerReplication followerReplication;
    private final LeaderReplication leaderReplication;
    private final VoterChanges voterChanges;
    private boolean awaitsSync;

    private ReplicaCore(ReplicaState state, RandomGenerator random, long nowNanos) {
        this.state = state;
        this.leaderReplication = new LeaderReplication(state);
        this.elections =
                new Elections(
                        state, random, leaderReplication::holdsLease, this::startLeading, nowNanos);
        this.followerReplication = new FollowerReplication(state, elections);
        this.voterChanges = new VoterChanges(state, leaderReplication);
    }

    /**
     * Creates a replica from its stored state.
     *
     * @param identity storage identity of the store
     */
    public static ReplicaCore create(
            GroupSettings settings,
            long identity,
            RecoveredState recovered,
            RandomGenerator random,
            long nowNanos) {
        final ReplicaState state = new ReplicaState(settings, identity, recovered, nowNanos);
        return new ReplicaCore(state, random, nowNanos);
    }

    /** Handles a message from another replica. */
    public void receive(String sender, GroupMessage message, long nowNanos) {
        requireNoPendingSync();
        if (message instanceof AppendRequest request) {
            followerReplication.onAppendRequest(sender, request, nowNanos);
        } else if (message instanceof AppendResponse response) {
            leaderReplication.onAppendResponse(sender, response, nowNanos);
        } else if (message instanceof VoteRequest request) {
            elections.onVoteRequest(sender, request, nowNanos);
        } else if (message instanceof VoteResponse response) {
            elections.onVoteResponse(sender, response, nowNanos);
        } else if (message instanceof SnapshotChunk chunk) {
            followerReplication.onSnapshotChunk(sender, chunk, nowNanos);
        } else if (message instanceof SnapshotResponse response) {
            leaderReplication.onSnapshotResponse(sender, response, nowNanos);
        }
        voterChanges.advance(nowNanos);
    }

    /** Advances the time; must be called at least ten times per heartbeat interval. */
    public void tick(long nowNanos) {
        requireNoPendingSync();
        if (state.role() == Role.LEADER) {
            leaderReplication.tick(nowNanos);
            if (state.role() != Role.LEADER) {
                elections.postpone(nowNanos);
            }
        } else {
            elections.tick(nowNanos);
        }
        voterChanges.advance(nowNanos);
    }

    /** Appends a command and returns its index; empty when this replica is not the leader. */
    public OptionalLong propose(byte[] command) {
        requireNoPendingSync();
        return state.role() == Role.LEADER
                ? OptionalLong.of(state.append(EntryKind.COMMAND, command).index())
                : OptionalLong.empty();
    }

    /** Starts to add a voter; the result is reported with the given change id. */
    public void addVoter(long changeId, String name, long nowNanos) {
        requireNoPendingSync();
        voterChanges.add(changeId, name, nowNanos);
    }

    /** Starts to remove a voter; the result is reported with the given change id. */
    public void removeVoter(long changeId, String name, long nowNanos) {
        requireNoPendingSync();
        voterChanges.remove(changeId, name, nowNanos);
    }

    /**
     * Keeps a snapshot of this replica's state in memory. Of the entries up to its index, only the
     * last {@link GroupSettings#retainedEntries} stay in the log.
     */
    public void compact(SnapshotImage image) {
        state.log().compact(image, state.settings().retainedEntries());
    }

    /** Returns the pending output and clears it. */
    public ReplicaOutput takeOutput(long nowNanos) {
        requireNoPendingSync();
        if (state.role() == Role.LEADER) {
            leaderReplication.replicate(nowNanos);
        }
        final ReplicaOutput output = state.takeOutput();
        awaitsSync = output.awaitsSync();
        return output;
    }

    /** Records that the output taken last is durable. */
    public void onSynced(long nowNanos) {
        awaitsSync = false;
        state.onSynced();
        elections.onSynced(nowNanos);
        if (state.role() == Role.LEADER) {
            leaderReplication.advanceCommit(nowNanos);
        }
        voterChanges.advance(nowNanos);
    }

    /** Returns whether this replica is the leader of its term. */
    public boolean isLeader() {
        return state.role() == Role.LEADER;
    }

    /** Returns the name of the known leader. */
    public Optional<String> leader() {
        return state.leader();
    }

    /** Returns the current term. */
    public long term() {
        return state.term();
    }

    /** Returns when this replica became leader; 0 when it is not the leader. */
    public long leaderSinceNanos() {
        return isLeader() ? state.leaderSinceNanos() : 0;
    }

    /**
     * Returns the end of the leader lease: until then no other replica can lead, and this one knows
     * all committed entries. Empty when this replica does not hold the lease. This replica grants
     * no votes until the returned time, even if it steps down before.
     */
    public OptionalLong leaseEndNanos(long nowNanos) {
        final boolean leaseHeld =
                isLeader()
                        && state.commitIndex() >= state.termStartIndex()
                        && leaderReplication.holdsLease(nowNanos);
        if (!leaseHeld) {
            return OptionalLong.empty();
        }
        state.promiseLease(leaderReplication.leaseEndNanos(nowNanos));
        return OptionalLong.of(state.promisedLeaseEndNanos());
    }

    /** Returns the index up to which the log is known to be committed. */
    public long commitIndex() {
        return state.commitIndex();
    }

    /** Returns the index of the last entry. */
    public long lastIndex() {
        return state.log().lastIndex();
    }

    /** Returns the term of the entry at an index, which must be in the log. */
    public long termAt(long index) {
        return state.log().termAt(index);
    }

    /** Returns the voters in force after the entry at an index. */
    public VoterConfiguration configurationAt(long index) {
        return state.log().configurationAt(index);
    }

    /** Returns the voters in force. */
    public VoterConfiguration configuration() {
        return state.log().configuration();
    }

    /**
     * Returns the names of voters whose replica answers this leader with another storage identity;
     * empty on other replicas.
     */
    public List<String> foreignVoters() {
        return isLeader() ? leaderReplication.foreignVoters() : List.of();
    }

    private void startLeading(long nowNanos) {
        leaderReplication.start(elections.votes(), nowNanos);
    }

    private void requireNoPendingSync() {
        if (awaitsSync) {
            throw new IllegalStateException(
                    "the output taken last has not been reported as synced");
        }
    }
}
