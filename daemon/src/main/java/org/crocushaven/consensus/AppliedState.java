package org.crocushaven.consensus;

import java.util.List;
import java.util.Optional;
import org.crocushaven.storage.EntryKind;
import org.crocushaven.storage.LogEntry;
import org.crocushaven.storage.SnapshotImage;

/**
 * Applies committed entries to the state machine and tracks the last applied entry.
 *
 * <p>Guarded by its own monitor, which is acquired before that of the history. The state machine is
 * called only while the monitor is held and must not call methods of this class.
 */
final class AppliedState {
    private static final byte[] NO_RESULT = new byte[0];

    private final StateMachine machine;
    private final CommittedHistory history = new CommittedHistory();
    private volatile long appliedIndex;
    private long appliedTerm;
    private VoterConfiguration configuration = VoterConfiguration.EMPTY;

    AppliedState(StateMachine machine, VoterConfiguration initial) {
        this.machine = machine;
        this.configuration = initial;
    }

    long appliedIndex() {
        return appliedIndex;
    }

    /** Applies an entry and returns the result for its proposer; empty unless it is a command. */
    synchronized byte[] apply(LogEntry entry) {
        byte[] result = NO_RESULT;
        if (entry.kind() == EntryKind.COMMAND) {
            result = machine.apply(entry.index(), entry.payload());
            history.add(entry.index(), entry.payload());
        } else if (entry.kind() == EntryKind.CONFIGURATION) {
            configuration = VoterConfiguration.decode(entry.payload());
        } else if (entry.kind() == EntryKind.NO_OP) {
            machine.termBegan(entry.term());
        }
        appliedTerm = entry.term();
        appliedIndex = entry.index();
        return result;
    }

    synchronized void restore(SnapshotImage image) {
        machine.restore(image.index(), image.data());
        configuration = VoterConfiguration.decode(image.configuration());
        appliedTerm = image.term();
        appliedIndex = image.index();
        history.reset(image.index());
    }

    synchronized SnapshotImage snapshot() {
        return new SnapshotImage(
                appliedIndex, appliedTerm, configuration.encode(), machine.snapshot());
    }

    Optional<List<CommittedCommand>> commandsAfter(long index, int maximumBytes) {
        return history.after(index, maximumBytes);
    }
}
