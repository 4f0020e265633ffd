package org.crocushaven.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/** Holds the requests that the leader granted to one backend server. Not thread-safe. */
public final class GrantedRequests {
    private final long validNanos;
    private final Deque<Grant> grants = new ArrayDeque<>();

    private GrantedRequests(long validMillis) {
        this.validNanos = TimeUnit.MILLISECONDS.toNanos(validMillis);
    }

    /** Returns a holder of no requests, in which each grant is valid for the given time. */
    public static GrantedRequests validForMillis(long validMillis) {
        return new GrantedRequests(validMillis);
    }

    /** Adds requests whose grant is valid from the given time on. */
    public void add(int requests, long fromNanos) {
        grants.addLast(new Grant(requests, fromNanos + validNanos));
    }

    /** Returns how many requests may be sent now. */
    public int left(long nowNanos) {
        removeLapsed(nowNanos);
        return grants.stream().mapToInt(Grant::requests).sum();
    }

    /** Takes one request, of the grant that lapses first; returns whether there was one. */
    public boolean tryTake(long nowNanos) {
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

    /** Forgets all grants. */
    public void clear() {
        grants.clear();
    }

    private void removeLapsed(long nowNanos) {
        grants.removeIf(grant -> grant.endNanos() - nowNanos <= 0);
    }

    private record Grant(int requests, long endNanos) {}
}
