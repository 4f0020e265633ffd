package org.crocushaven.once;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Identifies one attempt to run a call; never reused.
 *
 * @param instance name of the instance that makes the attempt
 * @param session number of that instance's session, higher for each later one
 * @param sequence number of the attempt within the session
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ClaimId(String instance, long session, long sequence) {}
