package org.crocushaven.consensus;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The state of a replica as published to other threads.
 *
 * @param leader name of the instance that is known as leader
 * @param term current term
 * @param leads whether this replica is the leader
 * @param leaderSinceNanos when it became leader; 0 when it is not the leader
 * @param leaseEndNanos time until which no other replica can lead; empty without lease
 * @param voters names of the voters
 * @param foreignVoters names of voters whose replica answers with another storage identity
 */
record GroupView(
        Optional<String> leader,
        long term,
        boolean leads,
        long leaderSinceNanos,
        OptionalLong leaseEndNanos,
        List<String> voters,
        List<String> foreignVoters) {
    static GroupView of(ReplicaCore core, long nowNanos) {
        return new GroupView(
                core.leader(),
                core.term(),
                core.isLeader(),
                core.leaderSinceNanos(),
                core.leaseEndNanos(nowNanos),
                core.configuration().names(),
                core.foreignVoters());
    }

    /** Returns the view of this replica after it has stopped. */
    GroupView stopped() {
        return new GroupView(
                Optional.empty(), term, false, 0, OptionalLong.empty(), voters, List.of());
    }
}
