package org.crocushaven.storage;

import java.util.List;
import java.util.Optional;

/**
 * The state that a log store contains when it is opened.
 *
 * @param hardState term and vote
 * @param snapshot the newest snapshot; empty when there is none
 * @param entries the entries after the snapshot, without gaps
 */
public record RecoveredState(
        HardState hardState, Optional<SnapshotImage> snapshot, List<LogEntry> entries) {
    /** Copies the list. */
    public RecoveredState {
        entries = List.copyOf(entries);
    }

    /** Returns whether nothing has been stored yet. */
    public boolean isEmpty() {
        return hardState.equals(HardState.INITIAL) && snapshot.isEmpty() && entries.isEmpty();
    }
}
