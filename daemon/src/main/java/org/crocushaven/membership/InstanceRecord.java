package org.crocushaven.membership;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Describes one instance and its state, as known to another instance or to itself.
 *
 * <p>Of two records of the same instance the one with the higher incarnation is newer, then the one
 * with the higher version, then the one whose state comes later in {@link State}.
 *
 * @param name unique name
 * @param failureDomain the failure domain in which it runs
 * @param host IP number
 * @param innerPort TCP port for other instances
 * @param callerPort TCP port for callers
 * @param operatorPort TCP port for operators
 * @param incarnation number that grows with each start of the instance
 * @param version number that the instance increments when it changes its state or refutes a
 *     suspicion
 * @param canBecomeVoter whether it has a data folder and can become a voter
 * @param state its state
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record InstanceRecord(
        String name,
        String failureDomain,
        String host,
        int innerPort,
        int callerPort,
        int operatorPort,
        long incarnation,
        long version,
        boolean canBecomeVoter,
        State state) {
    /** Returns a copy in another state. */
    public InstanceRecord withState(State other) {
        return with(version, other);
    }

    /** Returns a copy with another version and state. */
    public InstanceRecord with(long otherVersion, State otherState) {
        return new InstanceRecord(
                name,
                failureDomain,
                host,
                innerPort,
                callerPort,
                operatorPort,
                incarnation,
                otherVersion,
                canBecomeVoter,
                otherState);
    }

    /** Returns whether this record replaces the other one of the same instance. */
    public boolean isNewerThan(InstanceRecord other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        if (version != other.version) {
            return version > other.version;
        }
        return state.compareTo(other.state) > 0;
    }

    /** State of an instance; at the same version, a later constant replaces an earlier one. */
    public enum State {
        /** Answers probes. */
        ALIVE,
        /** Has announced that it stops; still answers. */
        LEAVING,
        /** Did not answer a probe. */
        SUSPECT,
        /** Did not answer for the whole suspicion time. */
        CRASHED,
        /** Has stopped after announcing it. */
        LEFT;

        /** Returns whether an instance in this state is expected to answer. */
        public boolean isReachable() {
            return this == ALIVE || this == LEAVING || this == SUSPECT;
        }
    }
}
