package org.crocushaven.dispatch;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.crocushaven.coordination.AnnouncedServer;
import org.crocushaven.protocol.Message;

/**
 * Notifies every instance that a backend server is draining, has left or accepts requests again.
 *
 * @param announcedServer the backend server and its state
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record BackendNotice(AnnouncedServer announcedServer) implements Message {}
