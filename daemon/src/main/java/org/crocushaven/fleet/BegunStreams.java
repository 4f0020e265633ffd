package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;

/**
 * Streams of which a gateway has received the first event, all from backend servers of one service
 * and software version.
 *
 * @param origin where they began
 * @param streams their identifiers, as {@link StreamIdentifier} gives them
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record BegunStreams(StreamOrigin origin, List<Long> streams) {
    public BegunStreams {
        streams = List.copyOf(streams);
    }
}
