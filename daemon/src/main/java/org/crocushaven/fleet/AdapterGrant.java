package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.crocushaven.protocol.Message;

/**
 * Where an adapter can be used.
 *
 * @param backend the backend server; empty text when there is none now
 * @param readyInMillis when the adapter is expected to be there, or when to ask again
 * @param version version of the adapter that is or will be there; 0 when not known
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record AdapterGrant(String backend, long readyInMillis, long version) implements Message {
    /** Returns the answer that no backend server can take the adapter now. */
    public static AdapterGrant none(long retryInMillis) {
        return new AdapterGrant("", retryInMillis, 0);
    }

    /** Returns whether a backend server was found. */
    public boolean isGranted() {
        return !backend.isEmpty();
    }
}
