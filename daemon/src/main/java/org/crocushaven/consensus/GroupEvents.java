package org.crocushaven.consensus;

import java.util.List;
import java.util.Optional;

/** Receives events of a replica. */
interface GroupEvents {
    /** Called when the known leader changes; empty when no leader is known. */
    void leaderChanged(long term, Optional<String> leader);

    /** Called when a snapshot from the leader has replaced the state. */
    void snapshotInstalled(long index);

    /** Called on the leader when a requested voter change is complete. */
    void votersChanged(List<String> voters);
}
