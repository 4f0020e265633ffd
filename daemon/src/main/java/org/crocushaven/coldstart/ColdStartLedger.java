package org.crocushaven.coldstart;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.crocushaven.admission.GrantBucket;
import org.crocushaven.observability.EventLine;

/**
 * Knows for the leader which backend servers are cold, and hands requests to them out.
 *
 * <p>Answers the load of many gateways that all turn to a backend server as soon as it returns. It
 * begins without requests to hand out, so that what an earlier leader granted is not exceeded. Not
 * thread-safe.
 */
public final class ColdStartLedger {
    private final Map<String, Entry> entries = new LinkedHashMap<>();

    /**
     * Records that a backend server is cold, or in doubt, from now on.
     *
     * @param startedMillis Unix time of its start, in milliseconds
     * @param remainingMillis time for which it is cold; a shorter one does not end a longer one
     * @param reason why, for the log
     */
    public void record(
            String backend,
            long startedMillis,
            long remainingMillis,
            ColdStartBound bound,
            String reason,
            long nowNanos) {
        final long untilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(remainingMillis);
        final Entry known = entries.get(backend);
        if (remainingMillis <= 0) {
            return;
        }
        if (known != null && known.isCold(nowNanos)) {
            known.prolong(startedMillis, untilNanos);
            return;
        }
        entries.put(backend, new Entry(startedMillis, untilNanos, bound, nowNanos));
        EventLine.of("backend-cold")
                .with("backend", backend)
                .with("reason", reason)
                .with("remaining_ms", remainingMillis)
                .with("per_second", bound.requestsPerSecond())
                .info();
    }

    /** Returns whether a backend server is cold. */
    public boolean isCold(String backend, long nowNanos) {
        final Entry entry = entries.get(backend);
        return entry != null && entry.isCold(nowNanos);
    }

    /** Returns what a gateway is told of all that are cold, and hands out what it wants. */
    public List<ColdGrant> exchange(List<ColdUse> uses, long nowNanos) {
        final Map<String, Integer> wanted = new HashMap<>();
        uses.forEach(use -> wanted.put(use.backend(), use.wanted()));
        final List<ColdGrant> grants = new ArrayList<>();
        entries.forEach(
                (backend, entry) -> {
                    if (entry.isCold(nowNanos)) {
                        grants.add(
                                new ColdGrant(
                                        backend,
                                        entry.startedMillis,
                                        entry.remainingMillis(nowNanos),
                                        entry.bucket.take(
                                                wanted.getOrDefault(backend, 0), nowNanos)));
                    }
                });
        return grants;
    }

    /** Forgets those that are no longer cold. */
    public void tick(long nowNanos) {
        entries.entrySet()
                .removeIf(
                        entry -> {
                            final boolean ended = !entry.getValue().isCold(nowNanos);
                            if (ended) {
                                EventLine.of("backend-warm").with("backend", entry.getKey()).info();
                            }
                            return ended;
                        });
    }

    private static final class Entry {
        private final GrantBucket bucket;
        private long startedMillis;
        private long untilNanos;

        private Entry(long startedMillis, long untilNanos, ColdStartBound bound, long nowNanos) {
            this.startedMillis = startedMillis;
            this.untilNanos = untilNanos;
            this.bucket =
                    GrantBucket.empty(
                            bound.grantedPerSecond(), ColdStartBound.KEPT_SECONDS, nowNanos);
        }

        private boolean isCold(long nowNanos) {
            return untilNanos - nowNanos > 0;
        }

        private long remainingMillis(long nowNanos) {
            return Math.max(1, TimeUnit.NANOSECONDS.toMillis(untilNanos - nowNanos));
        }

        private void prolong(long newStartedMillis, long newUntilNanos) {
            startedMillis = Math.max(startedMillis, newStartedMillis);
            if (newUntilNanos - untilNanos > 0) {
                untilNanos = newUntilNanos;
            }
        }
    }
}
