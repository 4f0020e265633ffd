package org.crocushaven.coldstart;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.crocushaven.admission.GrantedRequests;

/**
 * Keeps a gateway's requests to cold backend servers within what the leader granted.
 *
 * <p>What it knows ends by itself, so that without a leader a backend server is left alone only
 * while it is cold. Not thread-safe.
 */
public final class ColdBackends {
    /** Time until a request for a grant is answered, at the latest. */
    private static final long NEXT_GRANT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private final Map<String, ColdStart> starts = new HashMap<>();

    /**
     * Applies what the leader tells.
     *
     * @param askedNanos time at which the report was sent that the leader answers
     */
    public void apply(List<ColdGrant> grants, long askedNanos, long nowNanos) {
        starts.values().removeIf(start -> !start.isCold(nowNanos));
        for (final ColdGrant grant : grants) {
            final ColdStart start = startOf(grant.backend());
            start.prolong(
                    grant.startedMillis(),
                    nowNanos + TimeUnit.MILLISECONDS.toNanos(grant.remainingMillis()));
            if (grant.requests() > 0) {
                start.granted.add(grant.requests(), askedNanos);
            }
        }
    }

    /** Records that a backend server may start anew, since it refused a connection. */
    public void doubt(String backend, long startedMillis, ColdStartBound bound, long nowNanos) {
        final ColdStart start = startOf(backend);
        start.doubtedUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(bound.durationMillis());
        start.prolong(startedMillis, start.doubtedUntilNanos);
        start.granted.clear();
    }

    /** Withdraws what was granted, after a time that the clock may not have counted. */
    public void withdrawGrants() {
        starts.values().forEach(start -> start.granted.clear());
    }

    /** Returns whether a request may be sent to a start of a backend server. */
    public boolean allows(String backend, long startedMillis, long nowNanos) {
        return !isCold(backend, startedMillis, nowNanos)
                || starts.get(backend).granted.left(nowNanos) > 0;
    }

    /** Takes a request out of what is granted; returns whether it may be sent. */
    public boolean tryTake(String backend, long startedMillis, long nowNanos) {
        return !isCold(backend, startedMillis, nowNanos)
                || starts.get(backend).granted.tryTake(nowNanos);
    }

    /** Records that a request would be sent to a backend server if a grant allowed that. */
    public void recordWanted(String backend) {
        final ColdStart start = starts.get(backend);
        if (start != null) {
            start.wanted++;
        }
    }

    /** Returns the time until a request may be sent to a start of a backend server. */
    public long waitNanos(String backend, long startedMillis, long nowNanos) {
        return allows(backend, startedMillis, nowNanos) ? 0 : NEXT_GRANT_NANOS;
    }

    /** Returns what the leader is told next, and begins to count anew what is wanted. */
    public List<ColdUse> report(long nowNanos) {
        starts.values().removeIf(start -> !start.isCold(nowNanos));
        final List<ColdUse> uses = new ArrayList<>();
        starts.forEach(
                (backend, start) -> {
                    final int wanted = Math.max(0, start.wanted - start.granted.left(nowNanos));
                    final long doubtMillis = start.doubtMillis(nowNanos);
                    start.wanted = 0;
                    if (wanted > 0 || doubtMillis > 0) {
                        uses.add(new ColdUse(backend, start.startedMillis, doubtMillis, wanted));
                    }
                });
        return uses;
    }

    private boolean isCold(String backend, long startedMillis, long nowNanos) {
        final ColdStart start = starts.get(backend);
        return start != null && start.isCold(nowNanos) && startedMillis <= start.startedMillis;
    }

    private ColdStart startOf(String backend) {
        return starts.computeIfAbsent(backend, name -> new ColdStart());
    }

    /** What is known of a start of a backend server that is cold. */
    private static final class ColdStart {
        private final GrantedRequests granted =
                GrantedRequests.validForMillis(ColdStartBound.GRANT_VALID_MILLIS);
        private long startedMillis = Long.MIN_VALUE;
        private long untilNanos;
        private boolean known;
        private long doubtedUntilNanos;
        private int wanted;

        private boolean isCold(long nowNanos) {
            return known && untilNanos - nowNanos > 0;
        }

        private void prolong(long newStartedMillis, long newUntilNanos) {
            startedMillis = Math.max(startedMillis, newStartedMillis);
            if (!known || newUntilNanos - untilNanos > 0) {
                untilNanos = newUntilNanos;
            }
            known = true;
        }

        private long doubtMillis(long nowNanos) {
            return doubtedUntilNanos == 0
                    ? 0
                    : Math.max(0, TimeUnit.NANOSECONDS.toMillis(doubtedUntilNanos - nowNanos));
        }
    }
}
