package org.crocushaven.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Remembers which software versions the backend servers of each service had when, to say whether a
 * stream can have begun at one version only. Not thread-safe.
 */
final class SoftwareVersionHistory {
    private final long startedNanos;
    private final Map<String, Map<String, Long>> lastSeenNanos = new HashMap<>();

    private SoftwareVersionHistory(long startedNanos) {
        this.startedNanos = startedNanos;
    }

    /** Returns a history that begins at the given time. */
    static SoftwareVersionHistory startingAt(long nowNanos) {
        return new SoftwareVersionHistory(nowNanos);
    }

    /** Records that a backend server of a service has a software version, or had it until now. */
    void observe(String service, String softwareVersion, long nowNanos) {
        lastSeenNanos
                .computeIfAbsent(service, name -> new HashMap<>())
                .put(softwareVersion, nowNanos);
    }

    /**
     * Returns the only software version that a service has had for the given time; empty if it had
     * several, if none is known, or if the history is shorter.
     */
    Optional<String> onlyVersion(String service, long nowNanos, long spanNanos) {
        final Map<String, Long> versions = lastSeenNanos.get(service);
        if (versions == null || nowNanos - startedNanos < spanNanos) {
            return Optional.empty();
        }
        versions.values().removeIf(seenNanos -> nowNanos - seenNanos > spanNanos);
        return versions.size() == 1
                ? Optional.of(versions.keySet().iterator().next())
                : Optional.empty();
    }
}
