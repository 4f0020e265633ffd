package org.crocushaven.ingress;

/**
 * Contains the size of a generation as declared by the client.
 *
 * @param promptTokens number of prompt tokens
 * @param outputTokens maximum number of tokens in the answer
 */
public record DeclaredUsage(long promptTokens, long outputTokens) {
    /** Returns the number of tokens that count against the organisation's rate. */
    public long total() {
        return promptTokens + outputTokens;
    }
}
