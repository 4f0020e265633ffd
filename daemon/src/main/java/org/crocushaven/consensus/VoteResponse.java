package org.crocushaven.consensus;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Answers a {@link VoteRequest}.
 *
 * @param groupId number of the group
 * @param term term of the sender
 * @param identity storage identity of the sender
 * @param requestTerm term of the request
 * @param preVote whether the request was a pre-vote
 * @param code 0 when the vote is granted, else the number of the result code that gives the reason
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record VoteResponse(
        int groupId, long term, long identity, long requestTerm, boolean preVote, int code)
        implements GroupMessage {}
