package org.crocushaven.once;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.Optional;
import org.crocushaven.protocol.MessageCodec;
import org.crocushaven.result.Execution;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Result of a command for the claim table.
 *
 * @param kind the decision
 * @param answer the stored answer of a finished call; null when there is none
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ClaimDecision(Kind kind, byte[] answer) {
    private static final ClaimDecision GRANTED = new ClaimDecision(Kind.GRANTED, null);

    /** Returns the decision that the attempt may proceed. */
    public static ClaimDecision granted() {
        return GRANTED;
    }

    /** Returns a decision without an answer. */
    public static ClaimDecision of(Kind kind) {
        return new ClaimDecision(kind, null);
    }

    /**
     * Returns the decision that the call ran; the answer is null when it exceeded the limits of the
     * table.
     */
    public static ClaimDecision finished(byte[] answer) {
        return new ClaimDecision(Kind.FINISHED, answer);
    }

    /** Decodes a decision that {@link #encode} encoded. */
    public static ClaimDecision decode(byte[] encoded) {
        return MessageCodec.decodeValue(encoded, ClaimDecision.class);
    }

    /** Returns the encoded decision. */
    public byte[] encode() {
        return MessageCodec.encodeValue(this);
    }

    /** Returns whether the attempt may proceed. */
    public boolean isGranted() {
        return kind == Kind.GRANTED;
    }

    /** Returns the answer of a finished call, if it is stored. */
    public Optional<byte[]> storedAnswer() {
        return Optional.ofNullable(answer);
    }

    /**
     * Returns the failure to send to the caller when the call may not run.
     *
     * @throws IllegalStateException when the decision is {@code GRANTED}
     */
    public ResultException refusal() {
        return switch (kind) {
            case IN_FLIGHT -> ResultException.of(ResultCode.CLAIM_IN_FLIGHT);
            case CONTENT_DIFFERS -> ResultException.of(ResultCode.CLAIM_CONTENT_DIFFERS);
            case OUTCOME_UNKNOWN -> ResultException.of(ResultCode.CLAIM_OUTCOME_UNKNOWN);
            case FINISHED ->
                    ResultException.of(ResultCode.CLAIM_OUTCOME_UNKNOWN)
                            .withExecution(Execution.RAN);
            case SUPERSEDED, TABLE_FULL -> ResultException.of(ResultCode.CLAIM_UNAVAILABLE);
            default -> throw new IllegalStateException("a granted decision has no refusal");
        };
    }

    /** Kind of a decision. */
    public enum Kind {
        /** The attempt may proceed. */
        GRANTED,
        /** The call ran. */
        FINISHED,
        /** Another attempt is in flight. */
        IN_FLIGHT,
        /** The call may have run and is not repeated. */
        OUTCOME_UNKNOWN,
        /** The idempotency key was used with different request content. */
        CONTENT_DIFFERS,
        /** The attempt does not hold the claim, so it may not send. */
        SUPERSEDED,
        /** The table holds the maximum number of claims. */
        TABLE_FULL
    }
}
