package org.crocushaven.consensus;

import java.util.Optional;
import org.crocushaven.storage.SnapshotImage;

/** Assembles a snapshot from chunks that arrive in order. */
final class SnapshotAssembly {
    private long snapshotIndex;
    private long snapshotTerm;
    private byte[] data = new byte[0];
    private int received;

    /** Adds a chunk if it is the next one; returns the snapshot once it is complete. */
    Optional<SnapshotImage> add(SnapshotChunk chunk) {
        if (chunk.snapshotIndex() != snapshotIndex
                || chunk.snapshotTerm() != snapshotTerm
                || chunk.totalBytes() != data.length) {
            snapshotIndex = chunk.snapshotIndex();
            snapshotTerm = chunk.snapshotTerm();
            data = new byte[chunk.totalBytes()];
            received = 0;
        }
        if (chunk.offset() == received) {
            System.arraycopy(chunk.data(), 0, data, received, chunk.data().length);
            received += chunk.data().length;
        }
        if (received < data.length) {
            return Optional.empty();
        }
        final SnapshotImage image =
                new SnapshotImage(snapshotIndex, snapshotTerm, chunk.configuration(), data);
        reset();
        return Optional.of(image);
    }

    /** Returns the offset of the next expected chunk. */
    int nextOffset() {
        return received;
    }

    /** Discards the received chunks. */
    void reset() {
        snapshotIndex = 0;
        data = new byte[0];
        received = 0;
    }
}
