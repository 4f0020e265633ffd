package org.crocushaven.consensus;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Sends a chunk of a snapshot to a replica that needs entries which the leader no longer has.
 *
 * @param groupId number of the group
 * @param term term of the leader
 * @param identity storage identity of the leader
 * @param snapshotIndex index of the last entry included
 * @param snapshotTerm term of that entry
 * @param configuration encoded voters after that entry
 * @param totalBytes length of the encoded state
 * @param offset position of this chunk in the encoded state
 * @param data bytes of the chunk
 * @param sentNanos when it was sent, on the leader's monotonic clock
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record SnapshotChunk(
        int groupId,
        long term,
        long identity,
        long snapshotIndex,
        long snapshotTerm,
        byte[] configuration,
        int totalBytes,
        int offset,
        byte[] data,
        long sentNanos)
        implements GroupMessage {}
