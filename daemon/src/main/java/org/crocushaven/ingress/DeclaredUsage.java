package org.crocushaven.ingress;

/**
 * The size of a generation as its caller declares it.
 *
 * @param promptTokens tokens of the prompt
 * @param outputTokens most tokens of the answer
 */
public record DeclaredUsage(long promptTokens, long outputTokens) {
    /** Returns the tokens that count against the organisation's rate. */
    public long total() {
        return promptTokens + outputTokens;
    }
}
