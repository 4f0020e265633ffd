package org.crocushaven.fleet;

import java.util.OptionalLong;

/**
 * Proves the right to give orders.
 *
 * @param holder name of the instance that gives them
 * @param token grows with each holder
 * @param expectedSequence orders that the engine has accepted before; empty when not known
 */
public record OrderFence(String holder, long token, OptionalLong expectedSequence) {}
