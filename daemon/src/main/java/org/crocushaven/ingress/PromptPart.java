package org.crocushaven.ingress;

/**
 * One part of a prompt; parts at the beginning are shared between requests.
 *
 * @param identifier names the part's content
 * @param tokens its length
 */
public record PromptPart(long identifier, int tokens) {}
