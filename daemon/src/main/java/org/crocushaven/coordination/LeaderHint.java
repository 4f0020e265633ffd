package org.crocushaven.coordination;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.crocushaven.protocol.Message;

/**
 * Answers a request for the leader of a group on an instance that is not the leader.
 *
 * @param groupId number of the group
 * @param leader name of the presumed leader; empty when unknown
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record LeaderHint(int groupId, String leader) implements Message {}
