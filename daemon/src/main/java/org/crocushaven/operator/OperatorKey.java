package org.crocushaven.operator;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import org.crocushaven.configuration.KeyHash;

/** Checks operator keys against the hash of the valid one. */
final class OperatorKey {
    private static final String SCHEME = "Bearer ";

    private final byte[] hash;

    private OperatorKey(byte[] hash) {
        this.hash = hash;
    }

    static OperatorKey ofHash(String hex) {
        return new OperatorKey(bytes(hex));
    }

    /**
     * Returns whether the header {@code Authorization} has one value and it holds the valid key.
     */
    boolean matches(List<String> authorizations) {
        if (authorizations.size() != 1
                || !authorizations.get(0).regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            return false;
        }
        final String key = authorizations.get(0).substring(SCHEME.length()).trim();
        return MessageDigest.isEqual(hash, bytes(KeyHash.ofKey(key).hex()));
    }

    private static byte[] bytes(String hex) {
        return hex.getBytes(StandardCharsets.US_ASCII);
    }
}
