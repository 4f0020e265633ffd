package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.crocushaven.protocol.Message;

/**
 * The backend server on which an adapter is or will be loaded.
 *
 * @param backend identifier of the backend server; empty if none is available now
 * @param readyInMillis time until the adapter is expected to be usable, or, without a backend
 *     server, until the gateway should ask again
 * @param version version of the adapter that is or will be loaded; 0 if unknown
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record AdapterGrant(String backend, long readyInMillis, long version) implements Message {
    /** Returns a grant that names no backend server. */
    public static AdapterGrant none(long retryInMillis) {
        return new AdapterGrant("", retryInMillis, 0);
    }

    /** Returns whether a backend server was found. */
    public boolean isGranted() {
        return !backend.isEmpty();
    }
}
