package org.crocushaven.ingress;

/**
 * Describes one part of a prompt; the first parts of a prompt may be shared between requests.
 *
 * @param identifier identifier of the part's content
 * @param tokens number of tokens in the part
 */
public record PromptPart(long identifier, int tokens) {}
