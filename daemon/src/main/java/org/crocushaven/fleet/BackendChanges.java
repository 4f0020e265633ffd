package org.crocushaven.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Holds the current record of each backend server with the revision of its last change, so that
 * each gateway can be sent what changed since the revision that it has. Not thread-safe.
 */
final class BackendChanges {
    private final Map<String, Change> changes = new HashMap<>();
    private final NavigableMap<Long, Change> byRevision = new TreeMap<>();
    private final long firstRevision;
    private long revision;

    /**
     * Creates an empty history of changes.
     *
     * @param firstRevision greater than every revision of an earlier history under the same
     *     leader's epoch
     */
    BackendChanges(long firstRevision) {
        this.firstRevision = firstRevision;
        this.revision = firstRevision;
    }

    /** Returns whether the history holds all changes since a revision. */
    boolean covers(long since) {
        return since >= firstRevision;
    }

    /** Returns the revision of the last change. */
    long revision() {
        return revision;
    }

    /**
     * Stores the current record of a backend server; the revision grows only if the record changed.
     */
    void put(BackendRecord record) {
        final Change known = changes.get(record.backend());
        if (known == null || !record.equals(known.record)) {
            replace(known, new Change(record.backend(), record, ++revision));
        }
    }

    /** Records that a backend server is gone. */
    void putGone(String backend) {
        replace(changes.get(backend), new Change(backend, null, ++revision));
    }

    private void replace(Change known, Change change) {
        if (known != null) {
            byRevision.remove(known.revision);
        }
        changes.put(change.backend, change);
        byRevision.put(change.revision, change);
    }

    /** Returns the identifiers of the backend servers that are not gone. */
    List<String> present() {
        final List<String> present = new ArrayList<>();
        changes.forEach(
                (backend, entry) -> {
                    if (entry.record != null) {
                        present.add(backend);
                    }
                });
        return present;
    }

    /** Returns the backend servers that changed after a revision and are not gone. */
    List<BackendRecord> changedSince(long since) {
        final List<BackendRecord> changed = new ArrayList<>();
        for (final Change entry : byRevision.tailMap(since, false).values()) {
            if (entry.record != null) {
                changed.add(entry.record);
            }
        }
        return changed;
    }

    /** Returns the identifiers of the backend servers recorded as gone after a revision. */
    List<String> goneSince(long since) {
        final List<String> gone = new ArrayList<>();
        for (final Change entry : byRevision.tailMap(since, false).values()) {
            if (entry.record == null) {
                gone.add(entry.backend);
            }
        }
        return gone;
    }

    /**
     * The last change of a backend server.
     *
     * @param backend its identifier
     * @param record its current record; null if it is gone
     * @param revision revision of the change
     */
    private record Change(String backend, BackendRecord record, long revision) {}
}
