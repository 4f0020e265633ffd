package org.crocushaven.forwarding;

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

    /** Returns whether no notice of a backend server forbids sending a request to it. */
    boolean allowRequests(BackendRecord backend) {
        return !isLeaving(backend);
    }
}
