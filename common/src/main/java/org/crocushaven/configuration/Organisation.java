package org.crocushaven.configuration;

/**
 * An organisation with its rate limit and its weight in fair queues.
 *
 * @param name unique name
 * @param tokensPerSecond rate limit over all instances together, in tokens per second
 * @param burstTokens maximum number of tokens that may be used at once, over all instances together
 * @param weight relative weight in fair queues, 1 or more
 */
public record Organisation(String name, long tokensPerSecond, long burstTokens, int weight) {}
