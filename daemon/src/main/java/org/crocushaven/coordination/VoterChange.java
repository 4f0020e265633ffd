package org.crocushaven.coordination;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.crocushaven.protocol.Message;

/**
 * Asks the leader of a group to add or remove a voter; answered by {@link ProposalResult} once the
 * change is in effect, or by {@link LeaderHint}.
 *
 * @param groupId number of the group
 * @param instance name of the voter
 * @param add true to add the voter, false to remove it
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record VoterChange(int groupId, String instance, boolean add) implements Message {}
