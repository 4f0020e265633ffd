package org.crocushaven.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * Holds the newest committed commands, limited by their total size, for instances that are not
 * voters.
 *
 * <p>Guarded by its own monitor, a leaf lock: no other lock is acquired while it is held.
 */
final class CommittedHistory {
    private static final long MAXIMUM_BYTES = 8L * 1024 * 1024;

    private final Deque<CommittedCommand> commands = new ArrayDeque<>();
    private long lastDiscardedIndex;
    private long bytes;

    /** Discards all commands; called when a snapshot replaced the state up to the index. */
    synchronized void reset(long index) {
        commands.clear();
        bytes = 0;
        lastDiscardedIndex = index;
    }

    synchronized void add(long index, byte[] command) {
        commands.addLast(new CommittedCommand(index, command));
        bytes += command.length;
        while (bytes > MAXIMUM_BYTES) {
            final CommittedCommand dropped = commands.removeFirst();
            bytes -= dropped.command().length;
            lastDiscardedIndex = dropped.index();
        }
    }

    /**
     * Returns the commands after an index, or empty when some of them have been discarded.
     *
     * @param maximumBytes maximum total size of the commands; a larger first command is returned
     *     alone
     */
    synchronized Optional<List<CommittedCommand>> after(long index, int maximumBytes) {
        if (index < lastDiscardedIndex) {
            return Optional.empty();
        }
        final List<CommittedCommand> batch = new ArrayList<>();
        long batchBytes = 0;
        for (CommittedCommand command : commands) {
            if (command.index() > index) {
                batchBytes += command.command().length;
                if (!batch.isEmpty() && batchBytes > maximumBytes) {
                    break;
                }
                batch.add(command);
            }
        }
        return Optional.of(batch);
    }
}
