package org.crocushaven.storage;

/**
 * A snapshot of the state after a prefix of the log.
 *
 * @param index index of the last entry that is included
 * @param term term of that entry
 * @param configuration encoded voters in force after that entry
 * @param data encoded state of the state machine; must not be modified
 */
public record SnapshotImage(long index, long term, byte[] configuration, byte[] data) {}
