package org.crocushaven.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * A file of the log: a header with index and term of the entry before the segment's first one, then
 * batches.
 *
 * @param file the file
 * @param previousIndex index of the entry before the first
 * @param previousTerm term of that entry
 * @param batches the entries by batch; a batch replaces earlier entries from its first index on
 * @param endPosition position at which the next batch is written
 */
record Segment(
        Path file,
        long previousIndex,
        long previousTerm,
        List<List<LogEntry>> batches,
        int endPosition) {
    static final int HEADER_BYTES = 2 * Long.BYTES + Integer.BYTES;

    private static final String PREFIX = "log-";

    /** Creates a segment file without entries, durable on return. */
    static Segment create(Path folder, long sequence, long previousIndex, long previousTerm) {
        final Path file = folder.resolve(PREFIX + String.format(Locale.ROOT, "%020d", sequence));
        final ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
        header.putLong(previousIndex).putLong(previousTerm);
        header.putInt(FolderFiles.checksumOf(header.slice(0, 2 * Long.BYTES))).flip();
        try (FileChannel channel =
                FileChannel.open(file, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE)) {
            FolderFiles.writeFully(channel, header);
            channel.force(true);
            FolderFiles.syncFolder(folder);
        } catch (IOException exception) {
            throw FolderFiles.failure(file, exception);
        }
        return new Segment(file, previousIndex, previousTerm, List.of(), HEADER_BYTES);
    }

    /**
     * Reads a segment file.
     *
     * @param newest whether the file is the newest, whose last write a crash may have interrupted
     * @return the segment, or empty when the newest file has neither a valid header nor a batch
     */
    static Optional<Segment> read(Path file, boolean newest) {
        final ByteBuffer content = contentOf(file);
        if (!hasValidHeader(content)) {
            if (!newest || BatchCodec.hasRecordAfter(content, 0)) {
                throw FolderFiles.corrupt(file, 0);
            }
            return Optional.empty();
        }
        final List<List<LogEntry>> batches = new ArrayList<>();
        int position = HEADER_BYTES;
        while (position < content.limit()) {
            final Optional<BatchCodec.Batch> batch = BatchCodec.decode(content, position);
            if (batch.isEmpty()) {
                requireTornTail(file, newest, content, position);
                break;
            }
            batches.add(batch.get().entries());
            position = batch.get().endPosition();
        }
        return Optional.of(
                new Segment(
                        file, content.getLong(0), content.getLong(Long.BYTES), batches, position));
    }

    /** Returns the segment files of a folder, oldest first. */
    static List<Path> list(Path folder) {
        try (var files = Files.list(folder)) {
            return files.filter(file -> file.getFileName().toString().startsWith(PREFIX))
                    .sorted()
                    .toList();
        } catch (IOException exception) {
            throw FolderFiles.failure(folder, exception);
        }
    }

    /** Returns the sequence number in a file name, by which segments are ordered. */
    static long sequenceOf(Path file) {
        return Long.parseLong(file.getFileName().toString().substring(PREFIX.length()));
    }

    /** Returns the highest index in any batch; the previous index when there are no batches. */
    long highestIndex() {
        return batches.stream()
                .mapToLong(batch -> batch.get(batch.size() - 1).index())
                .reduce(previousIndex, Math::max);
    }

    /**
     * Fails unless a damaged record is the result of an interrupted write: it must be in the newest
     * file, and no valid record may follow it.
     */
    private static void requireTornTail(
            Path file, boolean newest, ByteBuffer content, int position) {
        if (!newest || BatchCodec.hasRecordAfter(content, position)) {
            throw FolderFiles.corrupt(file, position);
        }
    }

    private static boolean hasValidHeader(ByteBuffer content) {
        return content.limit() >= HEADER_BYTES
                && content.getInt(2 * Long.BYTES)
                        == FolderFiles.checksumOf(content.slice(0, 2 * Long.BYTES));
    }

    private static ByteBuffer contentOf(Path file) {
        try {
            return ByteBuffer.wrap(Files.readAllBytes(file));
        } catch (IOException exception) {
            throw FolderFiles.failure(file, exception);
        }
    }
}
