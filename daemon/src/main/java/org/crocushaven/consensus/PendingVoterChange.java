package org.crocushaven.consensus;

/**
 * A change of voters that has been asked of the leader and is not complete.
 *
 * @param index index that must be replicated or committed to complete this phase
 * @param term term in which the change was requested
 * @param identity storage identity of the caught-up learner
 */
record PendingVoterChange(
        long changeId,
        String name,
        Phase phase,
        long startNanos,
        long roundStartNanos,
        long index,
        long term,
        long identity) {
    static PendingVoterChange of(
            long changeId, String name, Phase phase, long nowNanos, long index, long term) {
        return new PendingVoterChange(
                changeId, name, phase, nowNanos, nowNanos, index, term, Voter.UNBOUND);
    }

    /** Returns whether a request for a phase's change of an instance asks for this change again. */
    boolean isSame(String otherName, Phase otherPhase) {
        return name.equals(otherName) && phase.removes() == otherPhase.removes();
    }

    PendingVoterChange startCatchUp(long nowNanos, long target) {
        return of(changeId, name, Phase.CATCH_UP, nowNanos, target, term);
    }

    PendingVoterChange nextRound(long nowNanos, long target) {
        return new PendingVoterChange(
                changeId, name, phase, startNanos, nowNanos, target, term, identity);
    }

    PendingVoterChange inPhase(Phase next, long target, long learnerIdentity) {
        return new PendingVoterChange(
                changeId, name, next, startNanos, roundStartNanos, target, term, learnerIdentity);
    }

    /** The phases of an addition and of a removal. */
    enum Phase {
        WAITING_TO_ADD,
        WAITING_TO_REMOVE,
        CATCH_UP,
        REMOVING_OLD_VOTER,
        ADDING,
        REMOVING;

        /** Returns whether this is a phase of a removal. */
        boolean removes() {
            return this == WAITING_TO_REMOVE || this == REMOVING;
        }

        /** Returns whether an entry has been appended, so that the change may yet happen. */
        boolean hasProposed() {
            return this == REMOVING_OLD_VOTER || this == ADDING || this == REMOVING;
        }
    }
}
