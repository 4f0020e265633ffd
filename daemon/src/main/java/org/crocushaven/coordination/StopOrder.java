package org.crocushaven.coordination;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.crocushaven.protocol.Message;

/**
 * Tells an instance to stop gracefully; answered by an equal message once the stop has begun.
 *
 * @param instance name of the instance to stop
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record StopOrder(String instance) implements Message {}
