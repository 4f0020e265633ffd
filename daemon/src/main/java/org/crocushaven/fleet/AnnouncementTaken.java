package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.crocushaven.protocol.Message;

/**
 * States that the leader has taken in a forwarded announcement.
 *
 * @param backend identifier of the backend server
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record AnnouncementTaken(String backend) implements Message {}
