package org.crocushaven.observability;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.crocushaven.protocol.Message;

/**
 * Requests the decisions that an instance keeps about a request; answered by {@link ExplainAnswer}.
 *
 * @param requestId identifier of the request
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ExplainQuery(String requestId) implements Message {}
