package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.crocushaven.protocol.Message;

/**
 * A request of an instance with a disk to hold control state; answered by {@link ControlHint}.
 *
 * @param instance its name
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ControlJoin(String instance) implements Message {}
