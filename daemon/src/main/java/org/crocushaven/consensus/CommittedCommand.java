package org.crocushaven.consensus;

/**
 * A committed command and its position in the log.
 *
 * @param index its position in the log; indexes between two commands may belong to other entries
 * @param command the command; must not be modified
 */
public record CommittedCommand(long index, byte[] command) {}
