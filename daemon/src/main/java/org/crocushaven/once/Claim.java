package org.crocushaven.once;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Entry of the claim table for one call.
 *
 * @param key the call
 * @param claimId the attempt that holds the claim
 * @param state state of the call
 * @param digest digest of the request
 * @param createdMillis table time at which the call was first claimed
 * @param claimedMillis table time at which this attempt claimed it
 * @param answer the stored answer; null when there is none
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
record Claim(
        ClaimKey key,
        ClaimId claimId,
        ClaimState state,
        byte[] digest,
        long createdMillis,
        long claimedMillis,
        byte[] answer) {
    static Claim of(ClaimCommand command, long tableMillis) {
        return new Claim(
                command.key(),
                command.claimId(),
                ClaimState.CLAIMED,
                command.digest(),
                tableMillis,
                tableMillis,
                null);
    }

    Claim withState(ClaimState next) {
        return new Claim(key, claimId, next, digest, createdMillis, claimedMillis, answer);
    }

    Claim finishedWith(byte[] storedAnswer) {
        return new Claim(
                key,
                claimId,
                ClaimState.FINISHED,
                digest,
                createdMillis,
                claimedMillis,
                storedAnswer);
    }

    /**
     * Returns the claim after another attempt has taken over the call, for which nothing was sent.
     * The creation time is kept, so that the takeover does not delay the expiry.
     */
    Claim takenOverBy(ClaimCommand command, long tableMillis) {
        return new Claim(
                key,
                command.claimId(),
                ClaimState.CLAIMED,
                command.digest(),
                createdMillis,
                tableMillis,
                null);
    }

    int answerBytes() {
        return answer == null ? 0 : answer.length;
    }
}
