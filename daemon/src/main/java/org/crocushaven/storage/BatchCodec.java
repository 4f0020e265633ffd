package org.crocushaven.storage;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Encodes and decodes a batch of entries as one record with a checksum.
 *
 * <p>Layout: magic number, length of the body, CRC32C of the body, then the body: the number of
 * entries and for each its index, term, kind, length and payload. A batch is a single record so
 * that a write interrupted by a crash never leaves a valid record after a damaged one.
 */
final class BatchCodec {
    static final int HEADER_BYTES = 3 * Integer.BYTES;

    private static final int MAGIC = 0x43484C31;

    private BatchCodec() {}

    static ByteBuffer encode(List<LogEntry> entries) {
        int bodyBytes = Integer.BYTES;
        for (LogEntry entry : entries) {
            bodyBytes += entry.encodedBytes();
        }
        final ByteBuffer record = ByteBuffer.allocate(HEADER_BYTES + bodyBytes);
        record.position(HEADER_BYTES);
        record.putInt(entries.size());
        for (LogEntry entry : entries) {
            record.putLong(entry.index());
            record.putLong(entry.term());
            record.put((byte) entry.kind().ordinal());
            record.putInt(entry.payload().length);
            record.put(entry.payload());
        }
        record.flip();
        final int checksum = FolderFiles.checksumOf(record.slice(HEADER_BYTES, bodyBytes));
        record.putInt(0, MAGIC).putInt(Integer.BYTES, bodyBytes);
        record.putInt(2 * Integer.BYTES, checksum);
        return record;
    }

    /**
     * Returns the record at the position, or empty if no complete and valid record starts there.
     */
    static Optional<Batch> decode(ByteBuffer file, int position) {
        if (file.limit() - position < HEADER_BYTES || file.getInt(position) != MAGIC) {
            return Optional.empty();
        }
        final int bodyBytes = file.getInt(position + Integer.BYTES);
        final int bodyPosition = position + HEADER_BYTES;
        if (bodyBytes < Integer.BYTES || bodyBytes > file.limit() - bodyPosition) {
            return Optional.empty();
        }
        final ByteBuffer body = file.slice(bodyPosition, bodyBytes);
        if (FolderFiles.checksumOf(body.duplicate()) != file.getInt(bodyPosition - Integer.BYTES)) {
            return Optional.empty();
        }
        return Optional.of(new Batch(decodeBody(body), bodyPosition + bodyBytes));
    }

    /** Returns whether any complete and valid record starts after the position. */
    static boolean hasRecordAfter(ByteBuffer file, int position) {
        for (int start = position + 1; start <= file.limit() - HEADER_BYTES; start++) {
            if (file.getInt(start) == MAGIC && decode(file, start).isPresent()) {
                return true;
            }
        }
        return false;
    }

    private static List<LogEntry> decodeBody(ByteBuffer body) {
        final int count = body.getInt();
        final List<LogEntry> entries = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            final long index = body.getLong();
            final long term = body.getLong();
            final EntryKind kind = EntryKind.fromOrdinal(body.get());
            final byte[] payload = new byte[body.getInt()];
            body.get(payload);
            entries.add(new LogEntry(index, term, kind, payload));
        }
        return entries;
    }

    /**
     * A decoded record and its end.
     *
     * @param entries entries of the batch
     * @param endPosition position at which the next record starts
     */
    record Batch(List<LogEntry> entries, int endPosition) {}
}
