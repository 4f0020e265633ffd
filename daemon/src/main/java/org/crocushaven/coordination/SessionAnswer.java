package org.crocushaven.coordination;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.Optional;
import org.crocushaven.admission.ShareGrant;
import org.crocushaven.protocol.Message;

/**
 * Answers a {@link SessionHeartbeat}.
 *
 * @param term term of the leader
 * @param leaseMillis length of the session lease, counted from the sending of the heartbeat, in
 *     milliseconds
 * @param configurationIndex log index up to which the configuration was committed when the leader
 *     answered
 * @param fleet the fleet table; empty when the instance already has it or when the leader is still
 *     in the grace period after its election
 * @param shares shares of the organisations that are granted to the instance
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record SessionAnswer(
        long term,
        long leaseMillis,
        long configurationIndex,
        Optional<FleetTable> fleet,
        ShareGrant shares)
        implements Message {}
