package org.crocushaven.coordination;

import org.crocushaven.consensus.ReplicatedGroup;

/** Exposes the configuration of a voter, which its replicated group keeps up to date. */
public final class VoterReplica implements ConfigurationReplica {
    private final ReplicatedGroup group;

    private VoterReplica(ReplicatedGroup group) {
        this.group = group;
    }

    /** Returns the replica of the given group. */
    public static VoterReplica of(ReplicatedGroup group) {
        return new VoterReplica(group);
    }

    @Override
    public long appliedIndex() {
        return group.appliedIndex();
    }

    @Override
    public void catchUp(String leader, long index, Runnable reached) {
        if (appliedIndex() >= index) {
            reached.run();
        }
    }
}
