package org.crocushaven.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import org.crocushaven.storage.EntryKind;
import org.crocushaven.storage.LogEntry;
import org.crocushaven.storage.RecoveredState;
import org.crocushaven.storage.SnapshotImage;

/**
 * Holds the log of one replica in memory, the voter configurations in it and the index up to which
 * it is durable.
 *
 * <p>A configuration is in force from the moment its entry is in the log, committed or not; when
 * the entry is replaced, the previous configuration is in force again.
 */
final class ReplicaLog {
    private final NavigableMap<Long, VoterConfiguration> configurations = new TreeMap<>();
    private final List<LogEntry> entries;
    private Optional<SnapshotImage> snapshot;
    private long baseIndex;
    private long baseTerm;
    private long syncedIndex;
    private long unsavedFrom;

    private ReplicaLog(
            VoterConfiguration initial, Optional<SnapshotImage> snapshot, List<LogEntry> entries) {
        this.snapshot = snapshot;
        this.baseIndex = snapshot.map(SnapshotImage::index).orElse(0L);
        this.baseTerm = snapshot.map(SnapshotImage::term).orElse(0L);
        this.entries = new ArrayList<>(entries);
        this.syncedIndex = lastIndex();
        this.unsavedFrom = lastIndex() + 1;
        configurations.put(
                baseIndex,
                snapshot.map(image -> VoterConfiguration.decode(image.configuration()))
                        .orElse(initial));
        entries.forEach(this::recordConfiguration);
    }

    /** Creates a log from stored state; without a snapshot it starts with the initial voters. */
    static ReplicaLog of(VoterConfiguration initial, RecoveredState recovered) {
        return new ReplicaLog(initial, recovered.snapshot(), recovered.entries());
    }

    Optional<SnapshotImage> snapshot() {
        return snapshot;
    }

    /** Returns the index of the entry before the first one in memory. */
    long baseIndex() {
        return baseIndex;
    }

    long lastIndex() {
        return baseIndex + entries.size();
    }

    long lastTerm() {
        return termAt(lastIndex());
    }

    /** Returns the index up to which the log is durable. */
    long syncedIndex() {
        return syncedIndex;
    }

    /** Returns the voters in force. */
    VoterConfiguration configuration() {
        return configurations.lastEntry().getValue();
    }

    /** Returns the index of the entry that set the voters in force. */
    long configurationIndex() {
        return configurations.lastKey();
    }

    VoterConfiguration configurationAt(long index) {
        return configurations.floorEntry(index).getValue();
    }

    /**
     * Returns whether the replica is a voter in the configuration at an index or in a later one.
     */
    boolean isVoterAtOrAfter(long index, String name, long identity) {
        return configurations.tailMap(configurations.floorKey(index), true).values().stream()
                .anyMatch(configuration -> configuration.includes(name, identity));
    }

    /** Returns the term of the entry at an index from {@link #baseIndex} to the last. */
    long termAt(long index) {
        return index == baseIndex ? baseTerm : entryAt(index).term();
    }

    /**
     * Returns whether the log holds the entry with that term; true for every index before the base,
     * since those entries are committed.
     */
    boolean matches(long index, long term) {
        return index < baseIndex || index <= lastIndex() && termAt(index) == term;
    }

    /**
     * Returns whether this log is no newer than one with the given last entry, as in Raft
     * elections.
     */
    boolean isNoNewerThan(long otherLastIndex, long otherLastTerm) {
        return otherLastTerm > lastTerm()
                || otherLastTerm == lastTerm() && otherLastIndex >= lastIndex();
    }

    /**
     * Returns an index up to which the leader's log may agree with this one, given that it differs
     * at an index: the last index of this log if the given one is higher, otherwise the index
     * before the entries of the conflicting term.
     */
    long conflictHint(long index) {
        if (index > lastIndex()) {
            return lastIndex();
        }
        final long conflictingTerm = termAt(index);
        long hint = index;
        while (hint > baseIndex && termAt(hint) == conflictingTerm) {
            hint--;
        }
        return hint;
    }

    /**
     * Returns entries from an index on.
     *
     * @param maximumBytes maximum total size of the entries; a larger first entry is returned alone
     */
    List<LogEntry> entriesFrom(long index, int maximumBytes) {
        final List<LogEntry> batch = new ArrayList<>();
        long bytes = 0;
        for (long next = index; next <= lastIndex(); next++) {
            final LogEntry entry = entryAt(next);
            bytes += entry.encodedBytes();
            if (!batch.isEmpty() && bytes > maximumBytes) {
                break;
            }
            batch.add(entry);
        }
        return batch;
    }

    /** Returns the entries after one index up to and including another. */
    List<LogEntry> entriesBetween(long after, long upTo) {
        return List.copyOf(entries.subList((int) (after - baseIndex), (int) (upTo - baseIndex)));
    }

    /** Adds an entry at the end. */
    void append(LogEntry entry) {
        entries.add(entry);
        recordConfiguration(entry);
    }

    /** Merges the leader's entries; from the first entry that differs on, this log is replaced. */
    void merge(List<LogEntry> received, long commitIndex) {
        for (LogEntry entry : received) {
            if (entry.index() <= baseIndex) {
                continue;
            }
            if (entry.index() <= lastIndex()) {
                if (termAt(entry.index()) == entry.term()) {
                    continue;
                }
                truncateFrom(entry.index(), commitIndex);
            }
            append(entry);
        }
    }

    /** Returns the entries that are not stored yet; later calls do not return them again. */
    List<LogEntry> takeUnsaved() {
        if (unsavedFrom > lastIndex()) {
            return List.of();
        }
        final List<LogEntry> unsaved = entriesBetween(unsavedFrom - 1, lastIndex());
        unsavedFrom = lastIndex() + 1;
        return unsaved;
    }

    /** Records that all entries taken by {@link #takeUnsaved} are durable. */
    void onSynced() {
        syncedIndex = unsavedFrom - 1;
    }

    /**
     * Keeps a snapshot of a prefix of this log. Of the entries up to its index, only the last
     * {@code retainedEntries} stay in the log.
     */
    void compact(SnapshotImage image, int retainedEntries) {
        snapshot = Optional.of(image);
        final long newBase = Math.max(baseIndex, image.index() - retainedEntries);
        final long newBaseTerm = termAt(newBase);
        entries.subList(0, (int) (newBase - baseIndex)).clear();
        baseIndex = newBase;
        baseTerm = newBaseTerm;
        dropConfigurationsBefore(newBase);
    }

    /** Replaces the whole log by a snapshot. */
    void install(SnapshotImage image) {
        snapshot = Optional.of(image);
        entries.clear();
        baseIndex = image.index();
        baseTerm = image.term();
        syncedIndex = Math.min(syncedIndex, image.index());
        unsavedFrom = image.index() + 1;
        configurations.clear();
        configurations.put(baseIndex, VoterConfiguration.decode(image.configuration()));
    }

    private void truncateFrom(long index, long commitIndex) {
        if (index <= commitIndex) {
            throw new IllegalStateException("committed entry " + index + " must not be replaced");
        }
        entries.subList((int) (index - 1 - baseIndex), entries.size()).clear();
        configurations.tailMap(index, true).clear();
        syncedIndex = Math.min(syncedIndex, index - 1);
        unsavedFrom = Math.min(unsavedFrom, index);
    }

    private void dropConfigurationsBefore(long index) {
        final Long inForce = configurations.floorKey(index);
        configurations.headMap(inForce, false).clear();
    }

    private void recordConfiguration(LogEntry entry) {
        if (entry.kind() == EntryKind.CONFIGURATION) {
            configurations.put(entry.index(), VoterConfiguration.decode(entry.payload()));
        }
    }

    private LogEntry entryAt(long index) {
        return entries.get((int) (index - baseIndex - 1));
    }
}
