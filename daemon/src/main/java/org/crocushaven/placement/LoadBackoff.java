package org.crocushaven.placement;

import java.util.HashMap;
import java.util.Map;
import org.crocushaven.configuration.AdapterVersion;

/** Exponential backoff after failed loads on one backend server. Not thread-safe. */
final class LoadBackoff {
    private static final int MAXIMUM_DOUBLINGS = 16;

    private final DispatcherSettings settings;
    private final Map<AdapterVersion, Failures> failures = new HashMap<>();

    LoadBackoff(DispatcherSettings settings) {
        this.settings = settings;
    }

    void recordFailure(AdapterVersion version, long nowNanos) {
        final Failures known = failures.get(version);
        final int count = known == null ? 1 : known.count() + 1;
        final long wait =
                Math.min(
                        settings.maximumLoadBackoffNanos(),
                        settings.loadBackoffNanos() << Math.min(count - 1, MAXIMUM_DOUBLINGS));
        failures.put(version, new Failures(count, nowNanos + wait));
    }

    void recordSuccess(AdapterVersion version) {
        failures.remove(version);
    }

    /** Returns the remaining backoff of the version; 0 if a load may be tried. */
    long remainingNanos(AdapterVersion version, long nowNanos) {
        final Failures known = failures.get(version);
        return known == null ? 0 : Math.max(0, known.untilNanos() - nowNanos);
    }

    /** Removes failures whose backoff ended longer ago than the maximum backoff. */
    void removeExpired(long nowNanos) {
        failures.values()
                .removeIf(
                        known ->
                                nowNanos - known.untilNanos() > settings.maximumLoadBackoffNanos());
    }

    private record Failures(int count, long untilNanos) {}
}
