package org.crocushaven.dispatch;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.crocushaven.protocol.Message;

/**
 * Asks an instance which permits of a backend server it holds; answered by {@link PermitsHeld}.
 *
 * @param backendServer name of the backend server
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record PermitQuery(String backendServer) implements Message {}
