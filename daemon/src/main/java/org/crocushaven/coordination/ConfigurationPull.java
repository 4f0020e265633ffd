package org.crocushaven.coordination;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.crocushaven.protocol.Message;

/**
 * Asks a voter for the configuration commands after an index; answered by {@link
 * ConfigurationPage}.
 *
 * @param afterIndex the last index that the asking instance has applied
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ConfigurationPull(long afterIndex) implements Message {}
