package org.crocushaven.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * The body of a request as it was received, with a digest of its bytes.
 *
 * @param bytes the body; the holder of this record releases it or passes it on
 * @param digest SHA-256 of the body
 */
record RequestBody(ByteBuf bytes, byte[] digest) {
    private static final String ALGORITHM = "SHA-256";

    /** Returns a body that is there as a whole; takes over the reference to it. */
    static RequestBody of(ByteBuf bytes) {
        final MessageDigest digest = newDigest();
        digest.update(bytes.nioBuffer());
        return new RequestBody(bytes, digest.digest());
    }

    /** Returns a body without bytes. */
    static RequestBody empty() {
        return of(Unpooled.EMPTY_BUFFER);
    }

    /** Returns a digest of no bytes yet. */
    static MessageDigest newDigest() {
        try {
            return MessageDigest.getInstance(ALGORITHM);
        } catch (NoSuchAlgorithmException absent) {
            throw new IllegalStateException(
                    ALGORITHM + " is required of every Java runtime", absent);
        }
    }
}
