package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.crocushaven.protocol.Message;

/**
 * A gateway's question where a stream began that a client takes up; answered by {@link
 * StreamOriginAnswer}.
 *
 * @param stream identifier of the stream; {@link StreamIdentifier#NONE} if the client does not name
 *     it
 * @param service service to which the gateway would send the request
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record StreamOriginQuery(long stream, String service) implements Message {}
