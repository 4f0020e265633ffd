package org.crocushaven.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/** Stores the log, hard state and snapshots in files of a data folder. */
public final class FileLogStore implements LogStore {
    private static final int SEGMENT_BYTES = 8 * 1024 * 1024;
    private static final String HARD_STATE_FILE = "hard-state";

    private final DataFolder folder;
    private final SnapshotFiles snapshots;
    private final RecoveredState recovered;
    private final Deque<ClosedSegment> closedSegments = new ArrayDeque<>();
    private FileChannel channel;
    private Path file;
    private long sequence;
    private long highestIndexInFile;
    private long lastIndex;
    private long lastTerm;

    private FileLogStore(DataFolder folder) {
        this.folder = folder;
        this.snapshots = new SnapshotFiles(folder.path());
        final Optional<SnapshotImage> snapshot = snapshots.load();
        final LogRecovery recovery = LogRecovery.read(folder.path(), snapshot);
        this.recovered = new RecoveredState(readHardState(recovery), snapshot, recovery.entries());
        this.lastIndex = recovery.lastIndex();
        this.lastTerm = recovery.lastTerm();
        continueLog(recovery);
    }

    /**
     * Opens the log in a data folder; the folder is closed when opening fails or the store closes.
     */
    public static FileLogStore open(DataFolder folder) {
        try {
            return new FileLogStore(folder);
        } catch (RuntimeException exception) {
            folder.close();
            throw exception;
        }
    }

    @Override
    public long identity() {
        return folder.identity();
    }

    @Override
    public RecoveredState recovered() {
        return recovered;
    }

    @Override
    public void saveHardState(HardState hardState) {
        final byte[] name = hardState.votedFor().getBytes(StandardCharsets.UTF_8);
        final ByteBuffer content =
                ByteBuffer.allocate(Long.BYTES + name.length)
                        .putLong(hardState.term())
                        .put(name)
                        .flip();
        FolderFiles.replace(folder.path().resolve(HARD_STATE_FILE), content);
    }

    @Override
    public void append(List<LogEntry> entries) {
        if (entries.isEmpty()) {
            return;
        }
        try {
            if (channel.position() >= SEGMENT_BYTES) {
                channel.force(false);
                startSegment();
            }
            FolderFiles.writeFully(channel, BatchCodec.encode(entries));
        } catch (IOException exception) {
            throw FolderFiles.failure(file, exception);
        }
        final LogEntry last = entries.get(entries.size() - 1);
        lastIndex = last.index();
        lastTerm = last.term();
        highestIndexInFile = Math.max(highestIndexInFile, lastIndex);
    }

    @Override
    public void sync() {
        try {
            channel.force(false);
        } catch (IOException exception) {
            throw FolderFiles.failure(file, exception);
        }
    }

    @Override
    public void compact(SnapshotImage snapshot) {
        sync();
        snapshots.save(snapshot);
        startSegment();
        while (!closedSegments.isEmpty()
                && closedSegments.peekFirst().highestIndex() <= snapshot.index()) {
            delete(closedSegments.removeFirst().file());
        }
    }

    @Override
    public void install(SnapshotImage snapshot) {
        snapshots.save(snapshot);
        lastIndex = snapshot.index();
        lastTerm = snapshot.term();
        startSegment();
        while (!closedSegments.isEmpty()) {
            delete(closedSegments.removeFirst().file());
        }
    }

    @Override
    public void close() {
        try {
            channel.close();
        } catch (IOException exception) {
            throw FolderFiles.failure(file, exception);
        } finally {
            folder.close();
        }
    }

    /**
     * Continues the newest segment if it ends at the last log entry; otherwise starts a new one.
     */
    private void continueLog(LogRecovery recovery) {
        final List<Segment> segments = recovery.segments();
        for (Segment segment : segments) {
            closedSegments.addLast(new ClosedSegment(segment.file(), segment.highestIndex()));
            sequence = Segment.sequenceOf(segment.file());
        }
        if (recovery.canContinueNewestSegment()) {
            final Segment newest = segments.get(segments.size() - 1);
            closedSegments.removeLast();
            openForAppend(newest);
        } else {
            startSegment();
        }
    }

    private void startSegment() {
        if (channel != null) {
            closedSegments.addLast(new ClosedSegment(file, highestIndexInFile));
            try {
                channel.close();
            } catch (IOException exception) {
                throw FolderFiles.failure(file, exception);
            }
        }
        sequence++;
        openForAppend(Segment.create(folder.path(), sequence, lastIndex, lastTerm));
    }

    /** Opens a segment for appending; truncates it after its last valid batch. */
    private void openForAppend(Segment segment) {
        file = segment.file();
        highestIndexInFile = segment.highestIndex();
        try {
            channel = FileChannel.open(file, StandardOpenOption.WRITE);
            if (channel.size() > segment.endPosition()) {
                channel.truncate(segment.endPosition());
                channel.force(true);
            }
            channel.position(segment.endPosition());
        } catch (IOException exception) {
            throw FolderFiles.failure(file, exception);
        }
    }

    /**
     * Reads the hard state. It is stored after the first segment is created and before the first
     * entry is appended; any other combination of files means that one is missing.
     */
    private HardState readHardState(LogRecovery recovery) {
        final Path hardStateFile = folder.path().resolve(HARD_STATE_FILE);
        final boolean exists = Files.exists(hardStateFile);
        if (exists ? recovery.segments().isEmpty() : recovery.lastIndex() > 0) {
            throw FolderFiles.corrupt(folder.path(), 0);
        }
        if (!exists) {
            return HardState.INITIAL;
        }
        final ByteBuffer content = FolderFiles.read(hardStateFile);
        final long term = content.getLong();
        return new HardState(term, StandardCharsets.UTF_8.decode(content).toString());
    }

    private static void delete(Path path) {
        try {
            Files.deleteIfExists(path);
        } catch (IOException exception) {
            throw FolderFiles.failure(path, exception);
        }
    }

    private record ClosedSegment(Path file, long highestIndex) {}
}
