package org.crocushaven.consensus;

/**
 * A replica that votes in elections and counts for commits.
 *
 * @param name name of the instance
 * @param identity its storage identity; {@link #UNBOUND} until the first leader of the group binds
 *     it
 */
public record Voter(String name, long identity) {
    /** Identity of a voter that is known by name only. */
    public static final long UNBOUND = 0;

    /** Returns whether its storage identity is known. */
    public boolean isBound() {
        return identity != UNBOUND;
    }
}
