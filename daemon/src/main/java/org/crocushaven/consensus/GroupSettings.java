package org.crocushaven.consensus;

import java.util.List;

/**
 * Settings of one replica of a group.
 *
 * @param groupId number of the group
 * @param instance name of the instance
 * @param initialVoters voters of the group when the data folder is new; if this instance is not
 *     among them, it starts as a non-voter until it is added
 * @param formation which first voters must vote for the first leader
 * @param timing timeouts and intervals
 * @param batchBytes maximum bytes of entries in one message; a larger first entry is sent alone
 * @param chunkBytes maximum bytes of a snapshot in one message
 * @param compactionEntries number of applied entries after which a snapshot is taken
 * @param retainedEntries number of entries before a snapshot that stay in memory for lagging
 *     replicas
 */
public record GroupSettings(
        int groupId,
        String instance,
        List<String> initialVoters,
        FormationRule formation,
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
        return of(
                groupId,
                instance,
                initialVoters,
                FormationRule.ALL_FIRST_VOTERS,
                ReplicaTiming.DEFAULT);
    }

    /** Returns settings with the given formation and intervals and the default sizes. */
    public static GroupSettings of(
            int groupId,
            String instance,
            List<String> initialVoters,
            FormationRule formation,
            ReplicaTiming timing) {
        return new GroupSettings(
                groupId,
                instance,
                initialVoters,
                formation,
                timing,
                DEFAULT_BATCH_BYTES,
                DEFAULT_CHUNK_BYTES,
                DEFAULT_COMPACTION_ENTRIES,
                DEFAULT_RETAINED_ENTRIES);
    }
}
