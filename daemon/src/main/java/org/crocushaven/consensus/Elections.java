package org.crocushaven.consensus;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongConsumer;
import java.util.function.LongPredicate;
import java.util.random.RandomGenerator;
import org.crocushaven.consensus.ReplicaState.Role;
import org.crocushaven.result.ResultCode;

/**
 * Starts elections, each a pre-vote followed by a vote, and answers the vote requests of others.
 *
 * <p>A pre-vote is not stored and does not increase the term, so a replica that was isolated cannot
 * depose a leader when it reconnects. A replica that received a message from a leader within the
 * minimum election timeout refuses both kinds of vote, so that the leader's lease expires before a
 * majority can elect another leader.
 *
 * <p>A replica that knows no voter, since it is new or lost its disk, has no vote.
 */
final class Elections {
    private static final int GRANTED = 0;

    private final ReplicaState state;
    private final RandomGenerator random;
    private final LongPredicate holdsLease;
    private final LongConsumer onElected;
    private final Map<String, Long> votes = new HashMap<>();
    private long deadlineNanos;

    /**
     * Creates the elections of a replica.
     *
     * @param holdsLease returns whether this replica, as leader, holds the lease at the given time
     * @param onElected called with the current time when this replica has won an election
     */
    Elections(
            ReplicaState state,
            RandomGenerator random,
            LongPredicate holdsLease,
            LongConsumer onElected,
            long nowNanos) {
        this.state = state;
        this.random = random;
        this.holdsLease = holdsLease;
        this.onElected = onElected;
        postpone(nowNanos);
    }

    /**
     * Returns the storage identities of the replicas that granted their vote in this round, by
     * name.
     */
    Map<String, Long> votes() {
        return votes;
    }

    /** Restarts the election timeout with a new random length. */
    void postpone(long nowNanos) {
        final ReplicaTiming timing = state.timing();
        deadlineNanos =
                nowNanos
                        + random.nextLong(
                                timing.minimumElectionNanos(), timing.maximumElectionNanos());
    }

    void tick(long nowNanos) {
        if (nowNanos - deadlineNanos < 0) {
            return;
        }
        postpone(nowNanos);
        if (state.canStartElection()) {
            state.startPreVote();
            votes.clear();
            votes.put(state.name(), state.identity());
            requestVotes(true, state.term() + 1);
            countVotes(nowNanos);
        } else {
            state.forgetLeader();
        }
    }

    void onVoteRequest(String sender, VoteRequest request, long nowNanos) {
        final int code = decide(sender, request, nowNanos);
        final VoteResponse response =
                new VoteResponse(
                        request.groupId(),
                        state.term(),
                        state.identity(),
                        request.term(),
                        request.preVote(),
                        code);
        if (code == GRANTED && !request.preVote()) {
            postpone(nowNanos);
            state.sendAfterSync(sender, response);
        } else {
            state.send(sender, response);
        }
    }

    void onVoteResponse(String sender, VoteResponse response, long nowNanos) {
        if (response.term() > state.term()) {
            state.adoptTerm(response.term());
            return;
        }
        if (response.code() == GRANTED && answersCurrentRound(response)) {
            votes.put(sender, response.identity());
            countVotes(nowNanos);
        }
    }

    /**
     * Counts the vote for this replica once it is durable, and requests the votes of the others.
     */
    void onSynced(long nowNanos) {
        if (state.clearPendingSelfVote() && state.role() == Role.CANDIDATE) {
            votes.put(state.name(), state.identity());
            requestVotes(false, state.term());
            countVotes(nowNanos);
        }
    }

    private int decide(String sender, VoteRequest request, long nowNanos) {
        if (mustRefuseVotes(nowNanos) || request.term() < state.term()) {
            return ResultCode.STALE_TERM.number();
        }
        if (!request.preVote() && request.term() > state.term()) {
            state.adoptTerm(request.term());
        }
        if (state.log().configuration().voters().isEmpty()) {
            return ResultCode.FOREIGN_INCARNATION.number();
        }
        if (!state.log().isNoNewerThan(request.lastIndex(), request.lastTerm())) {
            return state.log().configuration().isForeign(sender, request.identity())
                    ? ResultCode.FOREIGN_INCARNATION.number()
                    : ResultCode.STALE_TERM.number();
        }
        if (request.preVote()) {
            return request.term() > state.term() ? GRANTED : ResultCode.STALE_TERM.number();
        }
        return state.voteFor(sender, request.identity()) ? GRANTED : ResultCode.STALE_TERM.number();
    }

    private boolean mustRefuseVotes(long nowNanos) {
        if (state.promisedLeaseEndNanos() - nowNanos > 0) {
            return true;
        }
        return state.role() == Role.LEADER
                ? holdsLease.test(nowNanos)
                : nowNanos - state.leaderContactNanos() < state.timing().minimumElectionNanos();
    }

    private boolean answersCurrentRound(VoteResponse response) {
        return response.preVote()
                ? state.role() == Role.PRE_CANDIDATE && response.requestTerm() == state.term() + 1
                : state.role() == Role.CANDIDATE && response.requestTerm() == state.term();
    }

    private void countVotes(long nowNanos) {
        if (!state.log().configuration().hasElectionQuorum(votes, state.settings().formation())) {
            return;
        }
        if (state.role() == Role.PRE_CANDIDATE) {
            state.startCandidacy();
            votes.clear();
        } else if (state.role() == Role.CANDIDATE) {
            onElected.accept(nowNanos);
        }
    }

    private void requestVotes(boolean preVote, long term) {
        final ReplicaLog log = state.log();
        final VoteRequest request =
                new VoteRequest(
                        state.settings().groupId(),
                        term,
                        state.identity(),
                        preVote,
                        log.lastIndex(),
                        log.lastTerm());
        log.configuration().names().stream()
                .filter(name -> !name.equals(state.name()))
                .forEach(name -> state.send(name, request));
    }
}
