package org.crocushaven.admission;

import org.crocushaven.result.ResultCode;

/**
 * Result of an attempt to charge tokens to an organisation.
 *
 * @param organisation the organisation
 * @param tokens the tokens asked for
 * @param code {@link ResultCode#OK} if the tokens were taken, else the reason for the refusal
 * @param retryAfterNanos time after which the tokens are expected to be available; 0 if they were
 *     taken or exceed the burst
 * @param poolMayHaveTokens whether the leader may have tokens, so that an urgent report followed by
 *     a second attempt can succeed
 * @param generation generation of the holder at the charge
 * @param epoch epoch of the allocator at the charge
 * @param allocatorNanos time of the allocator's last answer before the charge, on its clock
 * @param sequence sequence number of the charge within the holder
 */
public record Charge(
        String organisation,
        long tokens,
        ResultCode code,
        long retryAfterNanos,
        boolean poolMayHaveTokens,
        long generation,
        long epoch,
        long allocatorNanos,
        long sequence) {
    /** Returns whether the tokens were taken. */
    public boolean granted() {
        return code == ResultCode.OK;
    }
}
