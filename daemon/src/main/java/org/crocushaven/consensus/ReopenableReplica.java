package org.crocushaven.consensus;

/**
 * A replica that stops for good when its disk fails, and can be opened again from what it stored.
 */
public interface ReopenableReplica {
    /** Returns whether it has stopped by itself. */
    boolean hasFailed();

    /** Stops it, or releases what it still holds after it has failed. */
    void close();
}
