package org.crocushaven.storage;

/**
 * The election state of a replica, which must survive restarts.
 *
 * @param term the highest term it has seen
 * @param votedFor the candidate it voted for in that term; empty for none
 */
public record HardState(long term, String votedFor) {
    /** The state of a replica that has not taken part in any election. */
    public static final HardState INITIAL = new HardState(0, "");
}
