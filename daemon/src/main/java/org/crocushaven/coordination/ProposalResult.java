package org.crocushaven.coordination;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.crocushaven.protocol.Message;

/**
 * Returns the result of a committed command from the state machine.
 *
 * @param result the encoded result
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ProposalResult(byte[] result) implements Message {}
