package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.crocushaven.protocol.Message;

/**
 * Asks the leader for the configuration in force; answered by {@link FleetDocument}.
 *
 * @param reader name of the asking instance
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record FleetRead(String reader) implements Message {}
