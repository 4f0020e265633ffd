package org.crocushaven.coordination;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import java.util.Optional;
import org.crocushaven.protocol.Message;

/**
 * Part of the committed configuration: a snapshot, or the commands that follow what the receiver
 * has.
 *
 * @param throughIndex the index that the receiver has reached after applying the page
 * @param snapshot the whole state at {@code throughIndex}, in place of commands
 * @param commands the commands in log order
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ConfigurationPage(
        long throughIndex, Optional<byte[]> snapshot, List<IndexedCommand> commands)
        implements Message {
    public ConfigurationPage {
        commands = List.copyOf(commands);
    }

    /**
     * A committed command.
     *
     * @param index its log index
     * @param command the encoded command
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    public record IndexedCommand(long index, byte[] command) {}
}
