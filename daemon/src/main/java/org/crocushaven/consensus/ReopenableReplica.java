package org.crocushaven.consensus;

/**
 * A replica that stops permanently when its disk fails and can be reopened from its stored state.
 */
public interface ReopenableReplica {
    /** Returns whether the replica has stopped because of a failure. */
    boolean hasFailed();

    /** Stops the replica, or releases the resources of a failed one. */
    void close();
}
