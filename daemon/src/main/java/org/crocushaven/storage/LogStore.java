package org.crocushaven.storage;

import java.util.List;

/**
 * Stores the durable state of one replica of a replicated log; used from one thread.
 *
 * <p>On a disk failure, methods throw a {@code ResultException} with {@code DATA_FOLDER_IO}. The
 * replica must then stop, because it is unknown what was stored.
 */
public interface LogStore extends AutoCloseable {
    /** Returns the storage identity, a random number generated when this store was created. */
    long identity();

    /** Returns the state that was stored when this store was opened. */
    RecoveredState recovered();

    /** Stores term and vote; durable on return. */
    void saveHardState(HardState hardState);

    /**
     * Appends entries; durable only after {@link #sync}. A batch replaces all stored entries from
     * its first index on.
     */
    void append(List<LogEntry> entries);

    /** Makes all appended entries durable. */
    void sync();

    /**
     * Stores a snapshot of a prefix of the log, durable on return, and may delete entries it
     * covers.
     */
    void compact(SnapshotImage snapshot);

    /** Replaces the whole log by a snapshot; durable on return. */
    void install(SnapshotImage snapshot);

    @Override
    void close();
}
