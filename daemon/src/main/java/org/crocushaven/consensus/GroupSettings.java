package org.crocushaven.consensus;

import java.util.List;

/**
 * Settings of one replica of a group.
 *
 * @param groupId number of the group
 * @param instance name of the instance
 * @param initialVoters voters of the group when the data folder is new; without this instance, it
 *     starts as a learner that waits to be added
 * @param timing intervals
 * @param batchBytes bytes of entries in one message, besides the first entry
 * @param chunkBytes bytes of a snapshot in one message
 * @param compactionEntries entries after which a snapshot is taken
 * @param retainedEntries entries kept in memory behind a snapshot for replicas that lag
 */
public record GroupSettings(
        int groupId,
        String instance,
        List<String> initialVoters,
        ReplicaTiming timing,
        int batchBytes,
        int chunkBytes,
        int compactionEntries,
        int retainedEntries) {
    private static final int DEFAULT_BATCH_BYTES = 256 * 1024;
    private static final int DEFAULT_CHUNK_BYTES = 128 * 1024;
    private static final int DEFAULT_COMPACTION_ENTRIES = 10_000;
    private static final int DEFAULT_RETAINED_ENTRIES = 1_000;

    /** Copies the list. */
    public GroupSettings {
        initialVoters = List.copyOf(initialVoters);
    }

    /** Returns settings with the default intervals and sizes. */
    public static GroupSettings of(int groupId, String instance, List<String> initialVoters) {
        return of(groupId, instance, initialVoters, ReplicaTiming.DEFAULT);
    }

    /** Returns settings with the given intervals and the default sizes. */
    public static GroupSettings of(
            int groupId, String instance, List<String> initialVoters, ReplicaTiming timing) {
        return new GroupSettings(
                groupId,
                instance,
                initialVoters,
                timing,
                DEFAULT_BATCH_BYTES,
                DEFAULT_CHUNK_BYTES,
                DEFAULT_COMPACTION_ENTRIES,
                DEFAULT_RETAINED_ENTRIES);
    }
}
