package org.crocushaven.dispatch;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.crocushaven.placement.PermitOutcome;
import org.crocushaven.protocol.Message;

/**
 * Returns a permit to the dispatcher of the backend server.
 *
 * @param backendServer name of the backend server
 * @param requestId identifier of the request
 * @param outcome how the request ended at the backend server
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record PermitReturn(String backendServer, String requestId, PermitOutcome outcome)
        implements Message {}
