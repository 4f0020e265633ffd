package org.crocushaven.evacuation;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.crocushaven.protocol.Message;

/**
 * The last evacuation of a failure domain; also the answer to {@link EvacuationQuery}.
 *
 * @param failureDomain the failure domain
 * @param underWay whether it is evacuated now
 * @param revision index of the entry that last changed this; 0 if none has
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record Evacuation(String failureDomain, boolean underWay, long revision) implements Message {
    /** Returns the state of a failure domain that was never evacuated. */
    public static Evacuation never(String failureDomain) {
        return new Evacuation(failureDomain, false, 0);
    }
}
