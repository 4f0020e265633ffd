package org.crocushaven.outbound;

import java.util.concurrent.TimeUnit;
import org.agrona.collections.IntHashSet;

/**
 * Remembers which requests a connection has carried for as long as any of them may come again.
 *
 * <p>An answer names its request, but not the send of it: were a request sent twice on one
 * connection, a late copy of the answer to the first send could not be told from the answer to the
 * second one. Only the hashes of the identifiers are kept: of two requests with the same one, the
 * second gets another connection. Not thread-safe.
 */
final class CarriedRequests {
    /** Time for which a request is remembered at least; a client waits for far less. */
    static final long MINIMUM_NANOS = TimeUnit.MINUTES.toNanos(5);

    private IntHashSet older = new IntHashSet();
    private IntHashSet newer = new IntHashSet();
    private long newerSinceNanos;

    /**
     * Creates the memory of a connection that has carried nothing.
     *
     * @param nowNanos current time
     */
    CarriedRequests(long nowNanos) {
        newerSinceNanos = nowNanos;
    }

    /** Records that a request is sent; an empty identifier names no request. */
    void add(String identifier, long nowNanos) {
        if (nowNanos - newerSinceNanos >= MINIMUM_NANOS) {
            older = newer;
            newer = new IntHashSet();
            newerSinceNanos = nowNanos;
        }
        if (!identifier.isEmpty()) {
            newer.add(identifier.hashCode());
        }
    }

    /** Returns whether a request may have been sent on the connection before. */
    boolean contains(String identifier) {
        final int hash = identifier.hashCode();
        return newer.contains(hash) || older.contains(hash);
    }
}
