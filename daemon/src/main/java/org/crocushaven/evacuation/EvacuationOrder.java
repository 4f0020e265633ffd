package org.crocushaven.evacuation;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * An operator's order on a failure domain, as a change of the replicated state.
 *
 * @param failureDomain the failure domain
 * @param begins whether its evacuation begins; otherwise it is taken back
 * @param expectedRevision revision of the failure domain's evacuation when the order arrived; 0 if
 *     there never was one
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record EvacuationOrder(String failureDomain, boolean begins, long expectedRevision) {}
