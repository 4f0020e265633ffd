package org.crocushaven.consensus;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Requests a vote or a pre-vote.
 *
 * @param groupId number of the group
 * @param term term in which the sender wants to lead
 * @param identity storage identity of the sender
 * @param preVote whether this only asks whether the receiver would grant its vote, without effect
 *     on the receiver's state
 * @param lastIndex index of the sender's last entry
 * @param lastTerm term of that entry
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record VoteRequest(
        int groupId, long term, long identity, boolean preVote, long lastIndex, long lastTerm)
        implements GroupMessage {}
