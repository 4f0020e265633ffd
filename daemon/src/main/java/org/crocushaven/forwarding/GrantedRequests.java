package org.crocushaven.forwarding;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.crocushaven.fleet.LimitGrant;

/** Holds the requests that the leader granted to one backend server. Not thread-safe. */
final class GrantedRequests {
    private static final long VALID_NANOS = TimeUnit.MILLISECONDS.toNanos(LimitGrant.VALID_MILLIS);

    private final Deque<Grant> grants = new ArrayDeque<>();

    /** Adds requests that may be sent from now on until their grant lapses. */
    void add(int requests, long nowNanos) {
        grants.addLast(new Grant(requests, nowNanos + VALID_NANOS));
    }

    /** Returns how many requests may be sent now. */
    int left(long nowNanos) {
        removeLapsed(nowNanos);
        return grants.stream().mapToInt(Grant::requests).sum();
    }

    /** Takes one request, of the grant that lapses first; returns whether there was one. */
    boolean tryTake(long nowNanos) {
        removeLapsed(nowNanos);
        final Grant first = grants.pollFirst();
        if (first == null) {
            return false;
        }
        if (first.requests() > 1) {
            grants.addFirst(new Grant(first.requests() - 1, first.endNanos()));
        }
        return true;
    }

    private void removeLapsed(long nowNanos) {
        grants.removeIf(grant -> grant.endNanos() - nowNanos <= 0);
    }

    private record Grant(int requests, long endNanos) {}
}
