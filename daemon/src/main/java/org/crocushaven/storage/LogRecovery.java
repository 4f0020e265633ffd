package org.crocushaven.storage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Rebuilds the log from its segments and the newest snapshot. */
final class LogRecovery {
    private static final long UNKNOWN_TERM = -1;

    private final List<Segment> segments = new ArrayList<>();
    private final List<LogEntry> entries = new ArrayList<>();
    private long previousIndex;
    private long previousTerm;

    private LogRecovery() {}

    /** Reads the segments of a folder; deletes the newest file if it has no valid header. */
    static LogRecovery read(Path folder, Optional<SnapshotImage> snapshot) {
        final LogRecovery recovery = new LogRecovery();
        final List<Path> files = Segment.list(folder);
        for (int number = 0; number < files.size(); number++) {
            final Path file = files.get(number);
            final Optional<Segment> segment = Segment.read(file, number == files.size() - 1);
            if (segment.isPresent()) {
                recovery.add(segment.get(), number == 0);
            } else {
                remove(file);
            }
        }
        recovery.requireNoGap(folder, snapshot.map(SnapshotImage::index).orElse(0L));
        snapshot.ifPresent(recovery::dropEntriesCoveredBy);
        return recovery;
    }

    /** Returns the segments that were read, oldest first. */
    List<Segment> segments() {
        return segments;
    }

    /** Returns the entries after the snapshot. */
    List<LogEntry> entries() {
        return entries;
    }

    /** Returns the index of the last entry, or of the entry before the first when there is none. */
    long lastIndex() {
        return previousIndex + entries.size();
    }

    /** Returns the term of the last entry. */
    long lastTerm() {
        return termAt(lastIndex());
    }

    /**
     * Returns whether the newest segment ends at the last log entry, so that it can be continued.
     */
    boolean canContinueNewestSegment() {
        if (segments.isEmpty()) {
            return false;
        }
        final Segment newest = segments.get(segments.size() - 1);
        if (newest.batches().isEmpty()) {
            return newest.previousIndex() == lastIndex() && newest.previousTerm() == lastTerm();
        }
        final List<LogEntry> batch = newest.batches().get(newest.batches().size() - 1);
        final LogEntry last = batch.get(batch.size() - 1);
        return last.index() == lastIndex() && last.term() == lastTerm();
    }

    private void add(Segment segment, boolean first) {
        if (first || !contains(segment.previousIndex(), segment.previousTerm())) {
            entries.clear();
            previousIndex = segment.previousIndex();
            previousTerm = segment.previousTerm();
        } else {
            truncateAfter(segment.previousIndex());
        }
        for (List<LogEntry> batch : segment.batches()) {
            addBatch(segment, batch);
        }
        segments.add(segment);
    }

    /**
     * Adds a batch, which replaces all entries from its first index on. It may start before the
     * entries that were read: the segments of the entries that it replaced may already be deleted,
     * because a snapshot covers their replacements.
     */
    private void addBatch(Segment segment, List<LogEntry> batch) {
        final long first = batch.get(0).index();
        if (first > lastIndex() + 1) {
            throw FolderFiles.corrupt(segment.file(), 0);
        }
        if (first <= previousIndex) {
            entries.clear();
            previousIndex = first - 1;
            previousTerm = UNKNOWN_TERM;
        }
        truncateAfter(first - 1);
        entries.addAll(batch);
    }

    /**
     * Drops the entries that a snapshot covers. The entries after it continue the snapshot only if
     * the log contains the snapshot's last entry; otherwise they are dropped too.
     */
    private void dropEntriesCoveredBy(SnapshotImage snapshot) {
        if (contains(snapshot.index(), snapshot.term())) {
            entries.subList(0, (int) (snapshot.index() - previousIndex)).clear();
        } else {
            entries.clear();
        }
        previousIndex = snapshot.index();
        previousTerm = snapshot.term();
    }

    private boolean contains(long index, long term) {
        return index >= previousIndex && index <= lastIndex() && termAt(index) == term;
    }

    private long termAt(long index) {
        return index == previousIndex
                ? previousTerm
                : entries.get((int) (index - previousIndex - 1)).term();
    }

    private void truncateAfter(long index) {
        entries.subList((int) (index - previousIndex), entries.size()).clear();
    }

    /**
     * Fails if entries between the snapshot and the log are missing; entries are deleted only once
     * a snapshot covers them.
     */
    private void requireNoGap(Path folder, long snapshotIndex) {
        if (previousIndex > snapshotIndex) {
            throw FolderFiles.corrupt(folder, 0);
        }
    }

    private static void remove(Path file) {
        try {
            Files.delete(file);
            FolderFiles.syncFolder(file.getParent());
        } catch (IOException exception) {
            throw FolderFiles.failure(file, exception);
        }
    }
}
