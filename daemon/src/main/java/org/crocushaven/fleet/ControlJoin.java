package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.crocushaven.protocol.Message;

/**
 * An instance with a disk asks to hold control state; answered by {@link ControlHint}.
 *
 * @param instance its name
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ControlJoin(String instance) implements Message {}
