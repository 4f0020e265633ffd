package org.crocushaven.consensus;

import java.util.Collection;
import java.util.function.ToLongFunction;

/**
 * Computes the value that a quorum of voters has reached.
 *
 * <p>Callers must give the lowest value to a voter whose replica answers with another storage
 * identity than the voter's.
 */
final class Quorums {
    private Quorums() {}

    /**
     * Returns the highest value that a quorum of voters has reached; {@code -Long.MAX_VALUE} when
     * there are no voters.
     */
    static long quorumValue(VoterConfiguration configuration, ToLongFunction<Voter> valueOf) {
        final Collection<Voter> voters = configuration.voters();
        if (voters.isEmpty()) {
            return -Long.MAX_VALUE;
        }
        final long[] values = voters.stream().mapToLong(valueOf).sorted().toArray();
        return values[values.length - configuration.quorum()];
    }
}
