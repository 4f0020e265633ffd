package org.crocushaven.dispatch;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.crocushaven.protocol.Message;

/**
 * Cancels a {@link PermitAsk} or returns its unused permit; no byte of the request was sent.
 *
 * @param backendServer name of the backend server
 * @param requestId identifier of the request
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record PermitCancel(String backendServer, String requestId) implements Message {}
