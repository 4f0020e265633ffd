package org.crocushaven.consensus;

import java.util.List;
import java.util.Optional;
import org.crocushaven.storage.HardState;
import org.crocushaven.storage.LogEntry;
import org.crocushaven.storage.SnapshotImage;

/**
 * The actions that result from one or more inputs to a replica.
 *
 * <p>Must be executed in this order: send the messages; store and sync the hard state, the snapshot
 * and the entries; if {@code awaitsSync}, call {@link ReplicaCore#onSynced} before any further
 * input; install the snapshot in the state machine; apply the committed entries; report the voter
 * changes.
 *
 * @param messages messages to send immediately
 * @param hardState hard state to store; empty when unchanged
 * @param snapshotToInstall snapshot that replaces the log and the state; empty when there is none
 * @param entries entries to store; they replace the stored ones from their first index on
 * @param awaitsSync whether {@link ReplicaCore#onSynced} must be called once hard state, snapshot
 *     and entries are durable
 * @param committed committed entries to apply
 * @param changeResults results of voter changes
 */
public record ReplicaOutput(
        List<Envelope> messages,
        Optional<HardState> hardState,
        Optional<SnapshotImage> snapshotToInstall,
        List<LogEntry> entries,
        boolean awaitsSync,
        List<LogEntry> committed,
        List<VoterChangeResult> changeResults) {
    /** Returns whether there is nothing to do. */
    public boolean isEmpty() {
        return messages.isEmpty() && !awaitsSync && committed.isEmpty() && changeResults.isEmpty();
    }
}
