package org.crocushaven.caller;

/** Estimates the number of tokens in a prompt before an engine has counted them. */
@FunctionalInterface
public interface PromptTokenPolicy {
    /**
     * Returns the estimated number of tokens.
     *
     * @param promptBytes length of the prompt's texts in UTF-8, plus 4 bytes per token identifier
     */
    long estimate(long promptBytes);
}
