package org.crocushaven.consensus;

/** A replica that stops when its disk fails; a new one can then be opened from the stored state. */
public interface ReopenableReplica {
    /** Returns whether the replica has stopped because of a failure. */
    boolean hasFailed();

    /** Stops the replica, or releases the resources of a failed one. */
    void close();
}
