package org.crocushaven.consensus;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Acknowledges the synced entries of an {@link AppendRequest} or an installed snapshot, or rejects
 * the request.
 *
 * @param groupId number of the group
 * @param term term of the sender
 * @param identity storage identity of the sender
 * @param accepted whether the sender's log holds the entry before the first one sent
 * @param matchIndex when accepted, index up to which the log equals the leader's and is synced;
 *     else an index up to which the logs may agree
 * @param sentNanos {@code sentNanos} of the request
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record AppendResponse(
        int groupId, long term, long identity, boolean accepted, long matchIndex, long sentNanos)
        implements GroupMessage {}
