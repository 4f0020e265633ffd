package org.crocushaven.fleet;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Remembers the adapters whose requests were refused, until callers get them.
 *
 * <p>Answers luck: a caller who comes back would stand no better than the first one of another
 * adapter, and an adapter that is rarely asked for would never be loaded while the weight store is
 * used up. Not thread-safe; times are on a monotonic clock.
 */
final class AdapterWishes {
    /** Number of adapters that are remembered; the one refused longest ago yields. */
    static final int MAXIMUM_WISHES = 4_000;

    /**
     * Time after the last refusal in which a wish is remembered: adapters that are asked for four
     * times a minute are in steady use.
     */
    private static final long REMEMBERED_NANOS = TimeUnit.SECONDS.toNanos(20);

    /** Refusals from which on a wish is overdue: the fourth caller finds the adapter loaded. */
    private static final int OVERDUE_REFUSALS = 3;

    /** Age from which on a wish is overdue: a quarter of the time in which nobody may starve. */
    private static final long OVERDUE_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Time between the first and the last refusal that shows that more than one caller asked. */
    private static final long REPEATED_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Ordered by the last refusal. */
    private final Map<AdapterKey, Wish> wishes = new LinkedHashMap<>();

    /** Records that a request was refused. */
    void refused(AdapterRequest request, long nowNanos) {
        forgetOld(nowNanos);
        final Wish before = wishes.remove(request.key());
        wishes.put(
                request.key(),
                before == null
                        ? new Wish(request, 1, nowNanos, nowNanos)
                        : before.repeated(request, nowNanos));
        if (wishes.size() > MAXIMUM_WISHES) {
            wishes.remove(wishes.keySet().iterator().next());
        }
    }

    /** Forgets an adapter that callers get, or whose load an engine has accepted. */
    void fulfilled(AdapterKey key) {
        wishes.remove(key);
    }

    /** Lets an adapter that had its turn, but no place, wait behind the others. */
    void waitAnew(AdapterKey key, long nowNanos) {
        wishes.computeIfPresent(key, (same, wish) -> wish.from(nowNanos));
    }

    /** Returns what is remembered of an adapter. */
    Optional<Wish> find(AdapterKey key) {
        return Optional.ofNullable(wishes.get(key));
    }

    /** Returns since when an adapter has been wished for in vain; empty if not for long. */
    OptionalLong overdueSince(AdapterKey key, long nowNanos) {
        final Wish wish = wishes.get(key);
        return wish != null && wish.isOverdue(nowNanos)
                ? OptionalLong.of(wish.sinceNanos)
                : OptionalLong.empty();
    }

    /** Returns the wish that is overdue for longest, apart from some. */
    Optional<Wish> oldestOverdue(Collection<AdapterKey> excluded, long nowNanos) {
        forgetOld(nowNanos);
        Wish oldest = null;
        for (final Wish wish : wishes.values()) {
            if (wish.isOverdue(nowNanos)
                    && (oldest == null || wish.sinceNanos - oldest.sinceNanos < 0)
                    && !excluded.contains(wish.request.key())) {
                oldest = wish;
            }
        }
        return Optional.ofNullable(oldest);
    }

    /** Returns the number of adapters that are remembered. */
    int size() {
        return wishes.size();
    }

    private void forgetOld(long nowNanos) {
        final var each = wishes.values().iterator();
        while (each.hasNext() && nowNanos - each.next().lastNanos >= REMEMBERED_NANOS) {
            each.remove();
        }
    }

    /**
     * An adapter that callers asked for in vain.
     *
     * @param request the last one of the most urgent requests that were refused
     * @param refusals number of refused requests
     * @param sinceNanos time of the first refusal
     * @param lastNanos time of the last refusal
     */
    record Wish(AdapterRequest request, int refusals, long sinceNanos, long lastNanos) {
        /**
         * Returns twice the mean time between the refusals, within which a caller should return.
         */
        long returnNanos() {
            return 2 * (lastNanos - sinceNanos) / Math.max(1, refusals - 1);
        }

        private boolean isOverdue(long nowNanos) {
            return refusals >= OVERDUE_REFUSALS
                    && nowNanos - sinceNanos >= OVERDUE_NANOS
                    && lastNanos - sinceNanos >= REPEATED_NANOS;
        }

        private Wish from(long nowNanos) {
            return new Wish(request, 1, nowNanos, lastNanos);
        }

        private Wish repeated(AdapterRequest next, long nowNanos) {
            final AdapterRequest asked = next.priority() <= request.priority() ? next : request;
            return new Wish(asked, refusals + 1, sinceNanos, nowNanos);
        }
    }
}
