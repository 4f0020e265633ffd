package org.crocushaven.evacuation;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.crocushaven.protocol.Message;

/**
 * Asks the leader for the last evacuation of a failure domain; answered by {@link Evacuation}.
 *
 * @param failureDomain the failure domain
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record EvacuationQuery(String failureDomain) implements Message {}
