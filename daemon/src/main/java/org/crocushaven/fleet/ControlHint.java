package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import org.crocushaven.protocol.Message;

/**
 * Answer of an instance that is not the leader.
 *
 * @param leader name of the instance that it considers the leader; empty if none is known
 * @param controlInstances names of the instances that hold control state
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ControlHint(String leader, List<String> controlInstances) implements Message {
    public ControlHint {
        controlInstances = List.copyOf(controlInstances);
    }
}
