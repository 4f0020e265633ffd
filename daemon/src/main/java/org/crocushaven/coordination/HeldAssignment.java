package org.crocushaven.coordination;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.crocushaven.backend.BackendServer;

/**
 * Dispatcher lease that an instance reports as held.
 *
 * @param server the backend server
 * @param fencingNumber number of the lease
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record HeldAssignment(BackendServer server, long fencingNumber) {}
