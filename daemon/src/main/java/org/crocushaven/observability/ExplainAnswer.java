package org.crocushaven.observability;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import org.crocushaven.protocol.Message;

/**
 * Answers an {@link ExplainQuery} with the decisions that an instance keeps about a request.
 *
 * @param decisions the decisions, oldest first; empty when the instance keeps none
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ExplainAnswer(List<DecisionLog.TimedDecision> decisions) implements Message {
    public ExplainAnswer {
        decisions = List.copyOf(decisions);
    }
}
