package org.crocushaven.forwarding;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.crocushaven.fleet.BackendRecord;

/**
 * Remembers what backend servers said of themselves in their answers. A notice holds until a later
 * start of the backend server is known, whatever else the leader's records say. Not thread-safe.
 */
final class BackendNotices {
    /** Number of backend servers that are remembered; the earliest is forgotten first. */
    private static final int MAXIMUM_BACKENDS = 10_000;

    /**
     * Time from the start of a backend server within which its first record arrives: two heartbeats
     * and an update.
     */
    private static final long FIRST_RECORD_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final Map<String, Pause> pauses = new HashMap<>();
    private final Map<String, Long> leavingStarts = boundedMap();
    private final Map<String, Long> newestStarts = boundedMap();

    /**
     * Records that a backend server said that it leaves; returns whether this was not known.
     *
     * @param answering the backend server at the start to which the answered request was sent
     */
    boolean recordLeaving(BackendRecord answering) {
        if (isLeaving(answering)) {
            return false;
        }
        leavingStarts.put(answering.backend(), answering.startedMillis());
        return true;
    }

    /** Returns whether a backend server has said since its start that it leaves. */
    boolean isLeaving(BackendRecord backend) {
        final Long leavingStart = leavingStarts.get(backend.backend());
        return leavingStart != null && backend.startedMillis() <= leavingStart;
    }

    /**
     * Records that a backend server wants no requests for a time from now on; a shorter time does
     * not end an earlier, longer one.
     *
     * @return whether it did not want a pause until now
     */
    boolean recordPause(String backend, Duration pause, long nowNanos) {
        pauses.values().removeIf(known -> known.endNanos() - nowNanos <= 0);
        final long endNanos = nowNanos + pause.toNanos();
        final Pause known = pauses.get(backend);
        final boolean prolonged = known == null || endNanos - known.endNanos() > 0;
        pauses.put(backend, new Pause(prolonged ? endNanos : known.endNanos(), nowNanos));
        return known == null && endNanos - nowNanos > 0;
    }

    /**
     * Records that a record of a backend server arrived. The first one of a later start ends a
     * pause, unless the pause was asked for so shortly before that it may come from that start.
     */
    void recordReceived(BackendRecord record, long nowNanos) {
        final Long newestMillis = newestStarts.get(record.backend());
        if (newestMillis == null || record.startedMillis() > newestMillis) {
            newestStarts.put(record.backend(), record.startedMillis());
            pauses.computeIfPresent(
                    record.backend(),
                    (backend, pause) ->
                            nowNanos - pause.askedNanos() > FIRST_RECORD_NANOS ? null : pause);
        }
    }

    /** Returns for how long a backend server wants no requests; 0 when it takes them. */
    long pauseNanos(BackendRecord backend, long nowNanos) {
        final Pause pause = pauses.get(backend.backend());
        return pause == null ? 0 : Math.max(0, pause.endNanos() - nowNanos);
    }

    /** Returns whether no notice of a backend server forbids sending a request to it. */
    boolean allowRequests(BackendRecord backend, long nowNanos) {
        return !isLeaving(backend) && pauseNanos(backend, nowNanos) == 0;
    }

    private static Map<String, Long> boundedMap() {
        return new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                return size() > MAXIMUM_BACKENDS;
            }
        };
    }

    /** The end of a pause, and when the backend server last asked for one. */
    private record Pause(long endNanos, long askedNanos) {}
}
