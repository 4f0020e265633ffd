package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.crocushaven.protocol.Message;

/**
 * Tells a gateway that a report at once would bring it news.
 *
 * @param leader name of the sender
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record FleetNudge(String leader) implements Message {}
