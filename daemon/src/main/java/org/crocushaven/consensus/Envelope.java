package org.crocushaven.consensus;

/**
 * A message and the instance that receives it.
 *
 * @param receiver name of the receiving instance
 * @param message the message
 */
public record Envelope(String receiver, GroupMessage message) {}
