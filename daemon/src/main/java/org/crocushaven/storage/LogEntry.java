package org.crocushaven.storage;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * An entry of a replicated log.
 *
 * @param index position in the log, from 1
 * @param term term of the leader that proposed it
 * @param kind kind of the payload
 * @param payload the content; must not be modified
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record LogEntry(long index, long term, EntryKind kind, byte[] payload) {
    /** Size of an encoded entry without its payload, in bytes. */
    public static final int OVERHEAD_BYTES = 21;

    /** Returns the size of the encoded entry, in bytes. */
    public int encodedBytes() {
        return OVERHEAD_BYTES + payload.length;
    }
}
