package org.crocushaven.caller;

/**
 * Estimates the number of tokens from a fixed number of bytes per token, rounded up.
 *
 * @param bytesPerToken bytes of UTF-8 text per token, at least 1
 */
public record FixedBytesPerToken(int bytesPerToken) implements PromptTokenPolicy {
    public static final int DEFAULT_BYTES_PER_TOKEN = 4;

    public FixedBytesPerToken {
        if (bytesPerToken < 1) {
            throw new IllegalArgumentException("bytesPerToken must be at least 1");
        }
    }

    /** Returns a policy with the default number of bytes per token. */
    public static FixedBytesPerToken defaults() {
        return new FixedBytesPerToken(DEFAULT_BYTES_PER_TOKEN);
    }

    @Override
    public long estimate(long promptBytes) {
        return (promptBytes + bytesPerToken - 1) / bytesPerToken;
    }
}
