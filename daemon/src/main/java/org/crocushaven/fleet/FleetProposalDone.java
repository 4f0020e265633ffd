package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.crocushaven.protocol.Message;

/**
 * States that a forwarded change is committed and in force at the leader.
 *
 * @param configurationVersion the configuration version in force
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record FleetProposalDone(long configurationVersion) implements Message {}
