package org.crocushaven.consensus;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Answers a {@link SnapshotChunk} while the snapshot is incomplete.
 *
 * @param groupId number of the group
 * @param term term of the sender
 * @param identity storage identity of the sender
 * @param snapshotIndex index of the snapshot
 * @param nextOffset offset of the next expected chunk
 * @param sentNanos {@code sentNanos} of the chunk
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record SnapshotResponse(
        int groupId, long term, long identity, long snapshotIndex, int nextOffset, long sentNanos)
        implements GroupMessage {}
