package org.crocushaven.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.crocushaven.consensus.PendingVoterChange.Phase;
import org.crocushaven.consensus.ReplicaState.Role;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.crocushaven.storage.EntryKind;

/**
 * Changes the voters of a group, one voter at a time.
 *
 * <p>A change asked of a leader whose term has not begun to commit, or whose configuration is not
 * committed, waits until it has: nobody else has asked for a change then. It ends with the
 * leadership at the latest. A request for the change that is pending is a repetition, of a sender
 * that missed the answer, and ends with that change.
 *
 * <p>A new instance first receives the log as a learner and becomes a voter only once it has synced
 * the leader's entries. If a voter of the same name lost its disk, a separate entry removes that
 * voter first.
 */
final class VoterChanges {
    private static final long CONTACT_TIMEOUT_MILLIS = 3_000;

    private final ReplicaState state;
    private final LeaderReplication replication;
    private final List<Long> repeatedChangeIds = new ArrayList<>();
    private Optional<PendingVoterChange> pending = Optional.empty();

    VoterChanges(ReplicaState state, LeaderReplication replication) {
        this.state = state;
        this.replication = replication;
    }

    /** Starts to add an instance as a voter. */
    void add(long changeId, String name, long nowNanos) {
        request(changeId, name, Phase.WAITING_TO_ADD, nowNanos);
    }

    /** Starts to remove a voter. */
    void remove(long changeId, String name, long nowNanos) {
        request(changeId, name, Phase.WAITING_TO_REMOVE, nowNanos);
    }

    private void request(long changeId, String name, Phase phase, long nowNanos) {
        if (state.role() != Role.LEADER) {
            report(changeId, Optional.of(notLeader()));
        } else if (pending.filter(change -> change.isSame(name, phase)).isPresent()) {
            repeatedChangeIds.add(changeId);
        } else if (pending.isPresent()) {
            final int groupId = state.settings().groupId();
            report(
                    changeId,
                    Optional.of(ResultException.of(ResultCode.VOTER_CHANGE_IN_PROGRESS, groupId)));
        } else {
            final long index = Math.max(state.termStartIndex(), state.log().configurationIndex());
            pending =
                    Optional.of(
                            PendingVoterChange.of(
                                    changeId, name, phase, nowNanos, index, state.term()));
            advance(nowNanos);
        }
    }

    /** Advances the pending change as far as possible. */
    void advance(long nowNanos) {
        while (pending.isPresent()) {
            final PendingVoterChange before = pending.get();
            if (state.role() != Role.LEADER) {
                finish(hasRemovedItself(before) ? Optional.empty() : lostLeadership(before));
            } else {
                step(before, nowNanos);
            }
            if (pending.isPresent() && pending.get().equals(before)) {
                return;
            }
        }
        bindVoters();
    }

    /** Binds voters that were not there when the group got its first leader, once they answer. */
    private void bindVoters() {
        final VoterConfiguration configuration = state.log().configuration();
        final long committedFrom =
                Math.max(state.termStartIndex(), state.log().configurationIndex());
        if (state.role() != Role.LEADER
                || configuration.isBound()
                || state.commitIndex() < committedFrom) {
            return;
        }
        final VoterConfiguration bound = configuration.bind(replication.identitiesOfAnswering());
        if (!bound.equals(configuration)) {
            propose(bound);
        }
    }

    private void step(PendingVoterChange change, long nowNanos) {
        final PeerProgress peer = replication.peer(change.name());
        switch (change.phase()) {
            case WAITING_TO_ADD -> startAdding(change, nowNanos);
            case WAITING_TO_REMOVE -> startRemoving(change);
            case CATCH_UP -> catchUp(change, peer, nowNanos);
            case REMOVING_OLD_VOTER -> addAfterRemoval(change, peer);
            case ADDING -> finishAdding(change, peer, nowNanos);
            case REMOVING -> {
                if (state.commitIndex() >= change.index()) {
                    finish(Optional.empty());
                }
            }
            default -> throw new IllegalStateException("unknown phase " + change.phase());
        }
    }

    private void startAdding(PendingVoterChange change, long nowNanos) {
        if (state.commitIndex() < change.index()) {
            return;
        }
        if (change.name().equals(state.name())) {
            finish(Optional.empty());
            return;
        }
        replication.setLearner(Optional.of(change.name()));
        pending = Optional.of(change.startCatchUp(nowNanos, lastIndex()));
    }

    private void startRemoving(PendingVoterChange change) {
        if (state.commitIndex() < change.index()) {
            return;
        }
        final VoterConfiguration configuration = state.log().configuration();
        if (configuration.find(change.name()).isEmpty()) {
            finish(Optional.empty());
        } else if (configuration.voters().size() == 1) {
            finish(invalid(change.name() + " is the only voter"));
        } else {
            final long index = propose(configuration.without(change.name()));
            pending = Optional.of(change.inPhase(Phase.REMOVING, index, Voter.UNBOUND));
        }
    }

    /**
     * Replicates to the learner in rounds; a round ends when the learner has synced the entry that
     * was the last one when the round began. The last round is one that took at most the minimum
     * election timeout or left nothing to send; the learner can then become a voter without delay.
     */
    private void catchUp(PendingVoterChange change, PeerProgress peer, long nowNanos) {
        if (!isInContact(change, peer, nowNanos)) {
            finish(timeout(change));
            return;
        }
        final VoterConfiguration configuration = state.log().configuration();
        if (!peer.hasContact()) {
            return;
        }
        if (configuration.includes(peer.name(), peer.identity())) {
            finish(Optional.empty());
        } else if (peer.matchIndex() >= change.index()) {
            final long roundNanos = nowNanos - change.roundStartNanos();
            if (peer.matchIndex() < lastIndex()
                    && roundNanos > state.timing().minimumElectionNanos()) {
                pending = Optional.of(change.nextRound(nowNanos, lastIndex()));
            } else if (configuration.find(peer.name()).isPresent()) {
                final long index = propose(configuration.without(peer.name()));
                pending =
                        Optional.of(
                                change.inPhase(Phase.REMOVING_OLD_VOTER, index, peer.identity()));
            } else {
                addLearnerAsVoter(change, peer);
            }
        }
    }

    private void addAfterRemoval(PendingVoterChange change, PeerProgress peer) {
        if (state.commitIndex() < change.index()) {
            return;
        }
        if (peer.identity() != change.identity()) {
            final String actualIdentity = Long.toHexString(peer.identity());
            finish(
                    Optional.of(
                            ResultException.of(
                                    ResultCode.FOREIGN_INCARNATION, actualIdentity, peer.name())));
            return;
        }
        addLearnerAsVoter(change, peer);
    }

    private void addLearnerAsVoter(PendingVoterChange change, PeerProgress peer) {
        final Voter voter = new Voter(peer.name(), peer.identity());
        final long index = propose(state.log().configuration().with(voter));
        pending = Optional.of(change.inPhase(Phase.ADDING, index, peer.identity()));
    }

    private void finishAdding(PendingVoterChange change, PeerProgress peer, long nowNanos) {
        if (state.commitIndex() < change.index()) {
            return;
        }
        if (peer.identity() == change.identity() && peer.matchIndex() >= change.index()) {
            finish(Optional.empty());
        } else if (!isInContact(change, peer, nowNanos)) {
            finish(timeout(change));
        }
    }

    private long propose(VoterConfiguration configuration) {
        return state.append(EntryKind.CONFIGURATION, configuration.encode()).index();
    }

    private boolean isInContact(PendingVoterChange change, PeerProgress peer, long nowNanos) {
        final long since =
                peer.hasContact()
                        ? Math.max(peer.answeredSentNanos(), change.startNanos())
                        : change.startNanos();
        return nowNanos - since < TimeUnit.MILLISECONDS.toNanos(CONTACT_TIMEOUT_MILLIS);
    }

    private long lastIndex() {
        return state.log().lastIndex();
    }

    private void finish(Optional<ResultException> failure) {
        final long changeId = pending.orElseThrow().changeId();
        pending = Optional.empty();
        replication.setLearner(Optional.empty());
        report(changeId, failure);
        repeatedChangeIds.forEach(repeated -> report(repeated, failure));
        repeatedChangeIds.clear();
    }

    private void report(long changeId, Optional<ResultException> failure) {
        state.report(new VoterChangeResult(changeId, failure));
    }

    /** Returns whether the replica stepped down because its own removal was committed. */
    private boolean hasRemovedItself(PendingVoterChange change) {
        return change.phase() == Phase.REMOVING
                && change.name().equals(state.name())
                && state.commitIndex() >= change.index()
                && state.log().configurationIndex() == change.index()
                && state.log().termAt(change.index()) == change.term();
    }

    private Optional<ResultException> lostLeadership(PendingVoterChange change) {
        return Optional.of(
                change.phase().hasProposed()
                        ? ResultException.of(
                                ResultCode.PROPOSAL_OUTCOME_UNKNOWN, state.settings().groupId())
                        : notLeader());
    }

    private ResultException notLeader() {
        return ResultException.of(ResultCode.NOT_LEADER, state.settings().groupId());
    }

    private static Optional<ResultException> timeout(PendingVoterChange change) {
        return Optional.of(
                ResultException.of(ResultCode.PEER_TIMEOUT, change.name(), CONTACT_TIMEOUT_MILLIS));
    }

    private static Optional<ResultException> invalid(String detail) {
        return Optional.of(ResultException.of(ResultCode.VOTER_CHANGE_INVALID, detail));
    }
}
