package org.crocushaven.membership;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import org.crocushaven.protocol.Message;

/**
 * Probes an instance and carries changed records; answered by a message of the same type.
 *
 * @param digest digest of the sender's table
 * @param complete whether {@code records} is the sender's whole table
 * @param records changed records
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record Gossip(long digest, boolean complete, List<InstanceRecord> records)
        implements Message {
    public Gossip {
        records = List.copyOf(records);
    }
}
