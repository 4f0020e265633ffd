package org.crocushaven.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.crocushaven.admission.GrantBucket;

/**
 * Keeps the limits that backend servers named to gateways, and hands their requests out: all that
 * gateways send together stays within a backend server's limit.
 *
 * <p>A ledger begins without tokens, so that what an earlier leader handed out is not exceeded. Not
 * thread-safe.
 */
final class LimitLedger {
    /** Tokens that are kept for gateways that report next, as seconds of the rate. */
    private static final double KEPT_SECONDS = 0.5;

    /** Time for which what no gateway reports any more is remembered. */
    private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final Map<String, Entry> entries = new LinkedHashMap<>();

    /** Applies what a gateway reports, and returns what it may send. */
    List<LimitGrant> exchange(List<LimitUse> uses, long nowNanos) {
        uses.forEach(use -> learn(use.statement(), nowNanos));
        final Map<String, Integer> wanted = new LinkedHashMap<>();
        uses.forEach(use -> wanted.put(use.statement().backend(), use.wanted()));
        final List<LimitGrant> grants = new ArrayList<>(entries.size());
        entries.forEach(
                (backend, entry) ->
                        grants.add(
                                new LimitGrant(
                                        entry.statement(backend, nowNanos),
                                        entry.bucket.take(
                                                wanted.getOrDefault(backend, 0), nowNanos))));
        return grants;
    }

    /** Forgets what no gateway reports any more. */
    void tick(long nowNanos) {
        entries.values().removeIf(entry -> nowNanos - entry.reportedNanos >= RETENTION_NANOS);
    }

    private void learn(LimitStatement said, long nowNanos) {
        final long saidNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(said.ageMillis());
        final Entry known = entries.get(said.backend());
        if (known == null) {
            entries.put(said.backend(), new Entry(said, saidNanos, nowNanos));
        } else if (known.isFollowedBy(said, saidNanos)) {
            known.change(said, saidNanos, nowNanos);
        }
        entries.get(said.backend()).reportedNanos = nowNanos;
    }

    private static double rateOf(LimitStatement said) {
        return said.isLimit()
                ? Math.max(LimitStatement.LOWEST_RATE_PER_SECOND, said.perSecond())
                : 0;
    }

    /** The last statement of a backend server, and the requests that are left of its limit. */
    private static final class Entry {
        private final GrantBucket bucket;
        private long startedMillis;
        private double perSecond;
        private long saidNanos;
        private long reportedNanos;

        private Entry(LimitStatement said, long saidNanos, long nowNanos) {
            this.startedMillis = said.startedMillis();
            this.perSecond = said.perSecond();
            this.saidNanos = saidNanos;
            this.bucket = GrantBucket.empty(rateOf(said), KEPT_SECONDS, nowNanos);
        }

        private boolean isFollowedBy(LimitStatement said, long otherNanos) {
            return startedMillis == said.startedMillis()
                    ? otherNanos - saidNanos > 0
                    : startedMillis < said.startedMillis();
        }

        private void change(LimitStatement said, long newSaidNanos, long nowNanos) {
            bucket.setRate(rateOf(said), nowNanos);
            startedMillis = said.startedMillis();
            perSecond = said.perSecond();
            saidNanos = newSaidNanos;
        }

        private LimitStatement statement(String backend, long nowNanos) {
            return new LimitStatement(
                    backend,
                    startedMillis,
                    perSecond,
                    Math.max(0, TimeUnit.NANOSECONDS.toMillis(nowNanos - saidNanos)));
        }
    }
}
