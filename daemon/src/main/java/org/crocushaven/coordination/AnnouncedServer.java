package org.crocushaven.coordination;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.crocushaven.backend.BackendServer;

/**
 * Backend server that announced itself to an instance.
 *
 * @param server the backend server as announced
 * @param state the state that it announced last
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record AnnouncedServer(BackendServer server, State state) {
    /** State that a backend server announces. */
    public enum State {
        /** Accepts requests. */
        SERVING,
        /** Accepts no new work. */
        DRAINING,
        /** Has left the fleet. */
        LEFT
    }
}
