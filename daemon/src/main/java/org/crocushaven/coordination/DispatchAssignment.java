package org.crocushaven.coordination;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.crocushaven.backend.BackendServer;

/**
 * Names the instance that dispatches for a backend server.
 *
 * @param server the backend server
 * @param dispatcher name of the instance
 * @param fencingNumber number of the dispatcher lease; a later lease has a higher number
 * @param draining whether the backend server must get no new work
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record DispatchAssignment(
        BackendServer server, String dispatcher, long fencingNumber, boolean draining) {}
