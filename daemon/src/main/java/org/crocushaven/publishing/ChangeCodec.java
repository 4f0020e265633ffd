package org.crocushaven.publishing;

import java.io.IOException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.crocushaven.configuration.Change;
import org.crocushaven.configuration.ChangeAnswer;
import org.crocushaven.configuration.NumberedChange;

/** Encodes the commands and results of the replicated configuration. */
public final class ChangeCodec {
    private final CompactEncoding encoding = new CompactEncoding();

    /** Encodes a change as a command. */
    public byte[] encodeChange(NumberedChange change) {
        return encoding.encode(change);
    }

    /**
     * Decodes a command.
     *
     * @throws IOException when the bytes are not a command
     */
    public NumberedChange decodeChange(byte[] command) throws IOException {
        return StringPool.share(encoding.decode(command, NumberedChange.class));
    }

    /** Encodes an answer as a result. */
    public byte[] encodeAnswer(ChangeAnswer answer) {
        return encoding.encode(answer);
    }

    /**
     * Decodes a result.
     *
     * @throws IOException when the bytes are not a result
     */
    public ChangeAnswer decodeAnswer(byte[] result) throws IOException {
        return encoding.decode(result, ChangeAnswer.class);
    }

    /** Returns the hexadecimal SHA-256 digest of a change's content. */
    String digest(Change change) {
        try {
            final MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(encoding.encodePlain(change)));
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException(missing);
        }
    }
}
