package org.crocushaven.configuration;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.regex.Pattern;

/**
 * The SHA-256 hash of a caller's key; the key itself is never stored.
 *
 * @param hex 64 lower-case hexadecimal digits
 */
public record KeyHash(@JsonValue String hex) {
    /** Number of hexadecimal digits of an identifier. */
    public static final int IDENTIFIER_LENGTH = 8;

    private static final Pattern PATTERN = Pattern.compile("[0-9a-f]{64}");

    public KeyHash {
        if (!PATTERN.matcher(hex).matches()) {
            throw new IllegalArgumentException("not 64 lower-case hexadecimal digits");
        }
    }

    /** Returns the hash with the given digits. */
    @JsonCreator
    public static KeyHash parse(String hex) {
        return new KeyHash(hex);
    }

    /** Returns the hash of the given key. */
    public static KeyHash ofKey(String key) {
        try {
            final MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return new KeyHash(
                    HexFormat.of().formatHex(digest.digest(key.getBytes(StandardCharsets.UTF_8))));
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException(missing);
        }
    }

    /** Returns the first eight digits, which identify the key in lists and logs. */
    public String identifier() {
        return hex.substring(0, IDENTIFIER_LENGTH);
    }

    @Override
    public String toString() {
        return identifier();
    }
}
