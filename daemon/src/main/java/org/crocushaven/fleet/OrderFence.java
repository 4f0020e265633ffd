package org.crocushaven.fleet;

import java.util.OptionalLong;

/**
 * Proves the right to send orders.
 *
 * @param holder name of the instance that sends them
 * @param token fencing token; grows with each holder
 * @param expectedSequence number of orders that the engine has accepted before; empty if unknown
 */
public record OrderFence(String holder, long token, OptionalLong expectedSequence) {}
