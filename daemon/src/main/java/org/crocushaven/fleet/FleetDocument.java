package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.crocushaven.protocol.Message;

/**
 * The configuration in force.
 *
 * @param configurationVersion its version; 0 when there is none
 * @param document the configuration as the operator sent it, compressed
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record FleetDocument(long configurationVersion, byte[] document) implements Message {}
