package org.crocushaven.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Joins what gateways report of broken requests into the crashes of backend servers.
 *
 * <p>A connection that ended is no crash by itself: the address must refuse connections after that,
 * or a later start must come to it soon. Bounded; not thread-safe.
 */
final class CrashEvidence {
    /** Time for which a crash is remembered. */
    private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** Time after a broken connection within which a later start shows that the server ended. */
    private static final long FOLLOWED_NANOS = TimeUnit.SECONDS.toNanos(10);

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
    boolean add(TraitReport report, long nowNanos) {
        boolean isNew = false;
        for (final BrokenStart broken : report.broken()) {
            isNew |= at(broken, nowNanos).add(broken);
        }
        for (final BackendStart ended : report.ended()) {
            final BackendCrash crash =
                    starts.computeIfAbsent(ended, start -> new BackendCrash(start, nowNanos));
            isNew |= crash.end();
        }
        return isNew;
    }

    private BackendCrash at(BrokenStart broken, long nowNanos) {
        final long ageNanos = TimeUnit.MILLISECONDS.toNanos(Math.max(0, broken.ageMillis()));
        return starts.computeIfAbsent(
                broken.start(),
                start -> new BackendCrash(start, nowNanos - Math.min(ageNanos, RETENTION_NANOS)));
    }

    /** Records that a backend server has started; returns whether that shows an earlier end. */
    boolean started(BackendAnnouncement announcement, long nowNanos) {
        boolean isNew = false;
        for (final BackendCrash crash : starts.values()) {
            if (nowNanos - crash.brokenNanos() < FOLLOWED_NANOS
                    && crash.start().isFollowedBy(announcement)) {
                isNew |= crash.end();
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
}
