package org.crocushaven.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What gateways were told of backend servers, with the revision of each change, so that each can be
 * told what it lacks. Not thread-safe.
 */
final class BackendLedger {
    private final Map<String, Told> told = new HashMap<>();
    private long revision = 1;

    /** Returns the revision of the last change. */
    long revision() {
        return revision;
    }

    /** Notes how a backend server looks now. */
    void tell(BackendRecord record) {
        final Told known = told.get(record.backend());
        if (known == null || !record.equals(known.record)) {
            revision++;
            told.put(record.backend(), new Told(record, revision));
        }
    }

    /** Notes that a backend server has ended. */
    void end(String backend) {
        revision++;
        told.put(backend, new Told(null, revision));
    }

    /** Returns the backend servers that have not ended. */
    List<String> present() {
        final List<String> present = new ArrayList<>();
        told.forEach(
                (backend, entry) -> {
                    if (entry.record != null) {
                        present.add(backend);
                    }
                });
        return present;
    }

    /** Returns those that changed after a revision. */
    List<BackendRecord> changedSince(long since) {
        final List<BackendRecord> changed = new ArrayList<>();
        for (final Told entry : told.values()) {
            if (entry.record != null && entry.revision > since) {
                changed.add(entry.record);
            }
        }
        return changed;
    }

    /** Returns those that ended after a revision. */
    List<String> goneSince(long since) {
        final List<String> gone = new ArrayList<>();
        told.forEach(
                (backend, entry) -> {
                    if (entry.record == null && entry.revision > since) {
                        gone.add(backend);
                    }
                });
        return gone;
    }

    /**
     * The last word on a backend server.
     *
     * @param record how it looks; null when it has ended
     * @param revision revision of the change
     */
    private record Told(BackendRecord record, long revision) {}
}
