package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.crocushaven.protocol.Message;

/**
 * Confirms that the leader has processed a forwarded announcement.
 *
 * @param backend identifier of the backend server
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record AnnouncementAcknowledged(String backend) implements Message {}
