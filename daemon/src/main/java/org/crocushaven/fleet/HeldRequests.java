package org.crocushaven.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Lets whole requests through one at a time that were in as many crashes as a verdict needs, while
 * too few tries tell them from victims beside them.
 *
 * <p>A try that goes on clears its request; one that ends a backend server is further evidence. The
 * tries are few, so that a guilty request does not reach more backend servers than it may. Not
 * thread-safe.
 */
final class HeldRequests {
    /** Tries that are let through while a request is held; the next evidence decides. */
    private static final int MAXIMUM_TRIES = 2;

    /** Time before each try, within which an earlier one has shown whether it goes on. */
    private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Time for which a refusal shows that there is a request to try. */
    private static final long REFUSED_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Map<Long, Entry> entries = new HashMap<>();

    /** Takes over the suspects; those in enough crashes are held from now on. */
    void retain(Collection<TraitSuspect> suspects, long nowNanos) {
        final Set<Long> held = new HashSet<>();
        for (final TraitSuspect suspect : suspects) {
            if (suspect.isHeld()) {
                held.add(suspect.trait());
                entries.computeIfAbsent(suspect.trait(), trait -> new Entry(nowNanos)).crashes =
                        suspect.crashes();
            }
        }
        entries.keySet().retainAll(held);
    }

    /** Records that a gateway refused a held request. */
    void refused(List<Long> traits, String gateway, long nowNanos) {
        final Entry entry = traits.size() == 1 ? entries.get(traits.get(0)) : null;
        if (entry != null) {
            entry.gateway = gateway;
            entry.refusedNanos = nowNanos;
        }
    }

    /** Returns what a gateway may let through once, in the form of verdicts. */
    List<TraitVerdict> takeGrants(String gateway, String leader, long nowNanos, long nowMillis) {
        final List<TraitVerdict> granted = new ArrayList<>();
        entries.forEach(
                (trait, entry) -> {
                    if (entry.isDue(gateway, nowNanos)) {
                        entry.sinceNanos = nowNanos;
                        entry.tries++;
                        granted.add(
                                new TraitVerdict(
                                        List.of(trait),
                                        List.of(),
                                        List.of(),
                                        entry.crashes,
                                        leader,
                                        nowMillis,
                                        entry.tries));
                    }
                });
        return granted;
    }

    private static final class Entry {
        private long sinceNanos;
        private long refusedNanos;
        private String gateway = "";
        private int tries;
        private int crashes;

        private Entry(long nowNanos) {
            this.sinceNanos = nowNanos;
        }

        private boolean isDue(String asking, long nowNanos) {
            return gateway.equals(asking)
                    && tries < MAXIMUM_TRIES
                    && nowNanos - refusedNanos <= REFUSED_NANOS
                    && nowNanos - sinceNanos >= INTERVAL_NANOS;
        }
    }
}
