package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.crocushaven.protocol.Message;

/**
 * A change forwarded to the leader; answered by {@link FleetProposalDone} once it is committed.
 *
 * @param command an encoded {@link FleetCommand}
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record FleetProposal(byte[] command) implements Message {}
