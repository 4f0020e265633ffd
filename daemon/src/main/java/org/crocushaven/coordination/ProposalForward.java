package org.crocushaven.coordination;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.crocushaven.protocol.Message;

/**
 * Forwards a command to the leader of a group; answered by {@link ProposalResult} or {@link
 * LeaderHint}.
 *
 * @param groupId number of the group
 * @param command the encoded command
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ProposalForward(int groupId, byte[] command) implements Message {}
