package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.crocushaven.protocol.Message;

/**
 * Tells a gateway that the leader has an update for it, so that it reports at once.
 *
 * @param leader name of the sender
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record FleetUpdateNotice(String leader) implements Message {}
