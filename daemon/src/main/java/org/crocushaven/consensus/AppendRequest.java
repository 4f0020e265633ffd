package org.crocushaven.consensus;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import org.crocushaven.storage.LogEntry;

/**
 * Sends entries of the leader's log to a follower; a request without entries is a heartbeat.
 *
 * @param groupId number of the group
 * @param term term of the leader
 * @param identity storage identity of the leader
 * @param previousIndex index of the entry before the first one sent
 * @param previousTerm term of that entry
 * @param commitIndex index up to which the leader knows the log to be committed
 * @param sentNanos when it was sent, on the leader's monotonic clock
 * @param entries the entries
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record AppendRequest(
        int groupId,
        long term,
        long identity,
        long previousIndex,
        long previousTerm,
        long commitIndex,
        long sentNanos,
        List<LogEntry> entries)
        implements GroupMessage {
    /** Copies the list. */
    public AppendRequest {
        entries = List.copyOf(entries);
    }
}
