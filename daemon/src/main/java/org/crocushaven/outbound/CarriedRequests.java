package org.crocushaven.outbound;

/**
 * Remembers which requests a connection carried last.
 *
 * <p>An answer names its request, but not the send of it: were a request sent twice on one
 * connection, a late copy of the answer to the first send could not be told from the answer to the
 * second one. Not thread-safe.
 */
final class CarriedRequests {
    /** Number of requests that are remembered for each connection. */
    private static final int CAPACITY = 64;

    private final String[] identifiers = new String[CAPACITY];
    private int next;

    /** Records that a request is sent; an empty identifier names no request. */
    void add(String identifier) {
        if (!identifier.isEmpty()) {
            identifiers[next] = identifier;
            next = (next + 1) % CAPACITY;
        }
    }

    /** Returns whether a request was sent on the connection before. */
    boolean contains(String identifier) {
        for (final String carried : identifiers) {
            if (identifier.equals(carried)) {
                return true;
            }
        }
        return false;
    }
}
