package org.crocushaven.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Joins what gateways report of broken requests into the crashes of backend servers.
 *
 * <p>A connection that ended is no crash by itself: the address must refuse connections after that,
 * or a later start must come to it soon. Bounded; not thread-safe.
 */
final class CrashEvidence {
    /** Time for which a crash is remembered. */
    private static final long RETENTION_NANOS = TimeUnit.MINUTES.toNanos(5);

    /** Time after a broken connection within which a later start shows that the server ended. */
    private static final long FOLLOWED_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Time after which a heartbeat was sent after the break, and not before it. */
    private static final long HEARTBEAT_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** Time after which another break at a start that has not ended is another event. */
    private static final long ANOTHER_BREAK_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Starts of backend servers that are remembered, the latest ones. */
    private static final int CAPACITY = 256;

    private final Map<BackendStart, BackendCrash> starts =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<BackendStart, BackendCrash> eldest) {
                    return size() > CAPACITY;
                }
            };

    /** Takes in a gateway's report; returns whether anything was new. */
    boolean add(String gateway, TraitReport report, long nowNanos) {
        boolean isNew = false;
        for (final BrokenStart broken : report.broken()) {
            isNew |= at(broken, nowNanos).add(broken);
        }
        for (final BackendStart ended : report.ended()) {
            final BackendCrash crash =
                    starts.computeIfAbsent(ended, start -> new BackendCrash(start, nowNanos));
            isNew |= crash.endSeen(gateway);
        }
        for (final BackendStart reached : report.reached()) {
            Optional.ofNullable(starts.get(reached)).ifPresent(BackendCrash::standsYet);
        }
        return isNew;
    }

    private BackendCrash at(BrokenStart broken, long nowNanos) {
        final long ageNanos = TimeUnit.MILLISECONDS.toNanos(Math.max(0, broken.ageMillis()));
        final long brokenNanos = nowNanos - Math.min(ageNanos, RETENTION_NANOS);
        final BackendCrash known = starts.get(broken.start());
        if (known != null
                && !known.hasEnded()
                && brokenNanos - known.brokenNanos() > ANOTHER_BREAK_NANOS) {
            starts.remove(broken.start());
        }
        return starts.computeIfAbsent(
                broken.start(), start -> new BackendCrash(start, brokenNanos));
    }

    /**
     * Records an announcement, which shows that an earlier start at the address has ended, or that
     * the same start goes on; returns whether an end is new.
     */
    boolean announced(BackendAnnouncement announcement, long nowNanos) {
        boolean isNew = false;
        for (final BackendCrash crash : starts.values()) {
            final long sinceNanos = nowNanos - crash.brokenNanos();
            if (sinceNanos < FOLLOWED_NANOS && crash.start().isFollowedBy(announcement)) {
                isNew |= crash.follow();
            } else if (sinceNanos > HEARTBEAT_DELAY_NANOS && crash.start().sent(announcement)) {
                crash.standsYet();
            }
        }
        return isNew;
    }

    /** Forgets what is too old; returns whether there was any. */
    boolean expire(long nowNanos) {
        return starts.values().removeIf(crash -> nowNanos - crash.brokenNanos() > RETENTION_NANOS);
    }

    /** Returns the crashes, in the order in which the connections ended. */
    List<BackendCrash> crashes() {
        final List<BackendCrash> crashes = new ArrayList<>();
        starts.values().stream().filter(BackendCrash::isCrash).forEach(crashes::add);
        crashes.sort((left, right) -> Long.compare(left.brokenNanos(), right.brokenNanos()));
        return crashes;
    }

    /**
     * Doubts the ends of some starts until all gateways have tried their addresses.
     *
     * @return those of which that is to be asked
     */
    List<BackendStart> doubt(
            Collection<BackendStart> ends,
            Collection<String> gateways,
            int maximum,
            long nowNanos) {
        return ends.stream()
                .map(starts::get)
                .filter(crash -> crash != null && crash.doubt(nowNanos))
                .filter(crash -> !crash.isConfirmed(gateways, nowNanos))
                .map(BackendCrash::start)
                .limit(maximum)
                .toList();
    }

    /** Returns whether the ends of some starts need no further witness. */
    boolean areConfirmed(
            Collection<BackendStart> ends, Collection<String> gateways, long nowNanos) {
        return ends.stream()
                .map(starts::get)
                .allMatch(crash -> crash != null && crash.isConfirmed(gateways, nowNanos));
    }
}
