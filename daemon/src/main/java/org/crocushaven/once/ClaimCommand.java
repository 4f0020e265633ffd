package org.crocushaven.once;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.crocushaven.protocol.MessageCodec;

/**
 * Command for the claim table.
 *
 * @param kind the operation
 * @param key the call; its parts are empty for {@code EXPIRE_CLAIMER}
 * @param claimId the attempt
 * @param nowMillis time of the proposer, in milliseconds since the epoch
 * @param digest digest of the request, for {@code CLAIM}
 * @param answer encoded answer, for {@code COMPLETE}
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ClaimCommand(
        Kind kind, ClaimKey key, ClaimId claimId, long nowMillis, byte[] digest, byte[] answer) {
    private static final byte[] NONE = new byte[0];
    private static final ClaimKey NO_KEY = new ClaimKey("", "", "");

    /** Returns a command that claims a call for an attempt. */
    public static ClaimCommand claim(ClaimKey key, ClaimId claimId, byte[] digest, long nowMillis) {
        return new ClaimCommand(Kind.CLAIM, key, claimId, nowMillis, digest, NONE);
    }

    /** Returns a command that records that bytes may be sent from now on. */
    public static ClaimCommand send(ClaimKey key, ClaimId claimId, long nowMillis) {
        return new ClaimCommand(Kind.SEND, key, claimId, nowMillis, NONE, NONE);
    }

    /** Returns a command that stores the answer. */
    public static ClaimCommand complete(
            ClaimKey key, ClaimId claimId, byte[] answer, long nowMillis) {
        return new ClaimCommand(Kind.COMPLETE, key, claimId, nowMillis, NONE, answer);
    }

    /** Returns a command that releases the claim of an attempt for which no byte was sent. */
    public static ClaimCommand release(ClaimKey key, ClaimId claimId, long nowMillis) {
        return new ClaimCommand(Kind.RELEASE, key, claimId, nowMillis, NONE, NONE);
    }

    /** Returns a command that abandons an attempt for which bytes may have been sent. */
    public static ClaimCommand abandon(ClaimKey key, ClaimId claimId, long nowMillis) {
        return new ClaimCommand(Kind.ABANDON, key, claimId, nowMillis, NONE, NONE);
    }

    /**
     * Returns a command that ends all attempts of an instance in the given session and all earlier
     * ones.
     */
    public static ClaimCommand expireClaimer(String instance, long session, long nowMillis) {
        final ClaimId last = new ClaimId(instance, session, Long.MAX_VALUE);
        return new ClaimCommand(Kind.EXPIRE_CLAIMER, NO_KEY, last, nowMillis, NONE, NONE);
    }

    /** Decodes a command that {@link #encode} encoded. */
    public static ClaimCommand decode(byte[] encoded) {
        return MessageCodec.decodeValue(encoded, ClaimCommand.class);
    }

    /** Returns the encoded command. */
    public byte[] encode() {
        return MessageCodec.encodeValue(this);
    }

    /** Operation of a command. */
    public enum Kind {
        /** Claims a call. */
        CLAIM,
        /** Records that bytes may be sent from now on. */
        SEND,
        /** Stores the answer. */
        COMPLETE,
        /** Releases the claim of an attempt for which no byte was sent. */
        RELEASE,
        /** Abandons an attempt for which bytes may have been sent. */
        ABANDON,
        /** Ends the attempts of an instance whose session has ended. */
        EXPIRE_CLAIMER
    }
}
