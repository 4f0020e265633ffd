package org.crocushaven.forwarding;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.crocushaven.fleet.BackendRecord;

/**
 * Remembers what backend servers said of themselves in their answers. A notice holds for the start
 * of the backend server that gave it and for earlier ones, whatever the leader's records say. Not
 * thread-safe.
 */
final class BackendNotices {
    /** Number of backend servers whose departure is remembered; the earliest is forgotten first. */
    private static final int MAXIMUM_DEPARTURES = 10_000;

    private final Map<String, Pause> pauses = new HashMap<>();
    private final Map<String, Long> leavingStarts =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                    return size() > MAXIMUM_DEPARTURES;
                }
            };

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
     * @param answering the backend server at the start to which the answered request was sent
     * @return whether it did not want a pause until now
     */
    boolean recordPause(BackendRecord answering, Duration pause, long nowNanos) {
        pauses.values().removeIf(known -> known.remainingNanos(nowNanos) <= 0);
        final Pause next = new Pause(answering.startedMillis(), nowNanos + pause.toNanos());
        final Pause known = pauses.get(answering.backend());
        if (known == null || known.isReplacedBy(next)) {
            pauses.put(answering.backend(), next);
        }
        return known == null && next.remainingNanos(nowNanos) > 0;
    }

    /** Returns for how long a backend server wants no requests; 0 when it takes them. */
    long pauseNanos(BackendRecord backend, long nowNanos) {
        final Pause pause = pauses.get(backend.backend());
        return pause == null || backend.startedMillis() > pause.startedMillis()
                ? 0
                : Math.max(0, pause.remainingNanos(nowNanos));
    }

    /** Returns whether no notice of a backend server forbids sending a request to it. */
    boolean allowRequests(BackendRecord backend, long nowNanos) {
        return !isLeaving(backend) && pauseNanos(backend, nowNanos) == 0;
    }

    /** The start of a backend server that wants a pause, and the end of that pause. */
    private record Pause(long startedMillis, long endNanos) {
        private long remainingNanos(long nowNanos) {
            return endNanos - nowNanos;
        }

        private boolean isReplacedBy(Pause next) {
            return next.startedMillis() == startedMillis
                    ? next.endNanos() - endNanos > 0
                    : next.startedMillis() > startedMillis;
        }
    }
}
