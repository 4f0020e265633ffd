package org.crocushaven.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Decides for the leader of a term when a single request may show whether a verdict still holds,
 * and when a verdict is forgotten since nobody asks for its traits any more.
 *
 * <p>A probe may end a backend server, so there are at most two for each verdict. The intervals
 * begin anew with each term. Not thread-safe.
 */
final class ProbeSchedule {
    /** Time before each probe; three requests in all may reach backend servers. */
    private static final long[] INTERVAL_NANOS = {
        TimeUnit.MINUTES.toNanos(2), TimeUnit.MINUTES.toNanos(20)
    };

    /** Time for which a refusal shows that there is a request to probe with. */
    private static final long REFUSED_NANOS = TimeUnit.SECONDS.toNanos(5);

    private static final long FORGOTTEN_NANOS = TimeUnit.HOURS.toNanos(1);

    private final Map<List<Long>, Entry> entries = new HashMap<>();
    private final Map<String, Set<List<Long>>> granted = new HashMap<>();

    /** Records that a gateway refused requests under a verdict. */
    void refused(List<Long> traits, String gateway, long nowNanos) {
        final Entry entry = entries.get(traits);
        if (entry != null) {
            entry.refusedNanos = nowNanos;
            entry.gateway = gateway;
        }
    }

    /** Takes over the verdicts in force. */
    void retain(Collection<TraitVerdict> verdicts, long nowNanos) {
        final Set<List<Long>> traits = new HashSet<>();
        for (final TraitVerdict verdict : verdicts) {
            traits.add(verdict.traits());
            entries.computeIfAbsent(verdict.traits(), added -> new Entry(nowNanos));
        }
        entries.keySet().retainAll(traits);
    }

    /** Returns a verdict of which a probe is due. */
    Optional<TraitVerdict> due(Collection<TraitVerdict> verdicts, long nowNanos) {
        return verdicts.stream().filter(verdict -> isDue(verdict, nowNanos)).findFirst();
    }

    private boolean isDue(TraitVerdict verdict, long nowNanos) {
        final Entry entry = entries.get(verdict.traits());
        return entry != null
                && verdict.probes() < INTERVAL_NANOS.length
                && nowNanos - entry.sinceNanos >= INTERVAL_NANOS[verdict.probes()]
                && !entry.gateway.isEmpty()
                && nowNanos - entry.refusedNanos <= REFUSED_NANOS;
    }

    /** Grants a committed probe to the gateway that refused last; returns its name. */
    String grant(List<Long> traits, long nowNanos) {
        final Entry entry = entries.get(traits);
        if (entry == null) {
            return "";
        }
        entry.sinceNanos = nowNanos;
        granted.computeIfAbsent(entry.gateway, name -> new HashSet<>()).add(traits);
        return entry.gateway;
    }

    /** Returns the verdicts of which a gateway may send a probe; each grant is returned once. */
    List<TraitVerdict> takeGrants(String gateway, Collection<TraitVerdict> verdicts) {
        final Set<List<Long>> taken = granted.remove(gateway);
        return taken == null
                ? List.of()
                : verdicts.stream().filter(verdict -> taken.contains(verdict.traits())).toList();
    }

    /** Returns the traits of verdicts under which no request has been refused for long. */
    List<List<Long>> forgotten(long nowNanos) {
        final List<List<Long>> forgotten = new ArrayList<>();
        entries.forEach(
                (traits, entry) -> {
                    if (nowNanos - entry.refusedNanos > FORGOTTEN_NANOS) {
                        forgotten.add(traits);
                    }
                });
        return forgotten;
    }

    private static final class Entry {
        private long sinceNanos;
        private long refusedNanos;
        private String gateway = "";

        private Entry(long nowNanos) {
            this.sinceNanos = nowNanos;
            this.refusedNanos = nowNanos;
        }
    }
}
