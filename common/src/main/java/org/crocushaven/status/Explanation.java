package org.crocushaven.status;

import java.util.List;

/**
 * The decisions about one request.
 *
 * @param request identifier of the request
 * @param decisions the decisions of all instances that answered the query, oldest first
 */
public record Explanation(String request, List<ExplainedDecision> decisions) {
    public Explanation {
        decisions = List.copyOf(decisions);
    }
}
