package org.crocushaven.forwarding;

import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.crocushaven.fleet.BackendRecord;

/**
 * Decides which backend servers may serve a request by the version of their software: any until a
 * version is required, then only those that have it. Not thread-safe.
 */
final class SoftwareVersionRule {
    private Optional<String> required = Optional.empty();

    /** Requires a version; one that is required already stays. */
    void require(String softwareVersion) {
        if (required.isEmpty()) {
            required = Optional.of(softwareVersion);
        }
    }

    /** Returns whether a backend server may serve the request. */
    boolean allows(BackendRecord backend) {
        return required.isEmpty() || required.get().equals(backend.softwareVersion());
    }

    /** Adds the backend servers that may not serve the request to those that were excluded. */
    Set<String> excluded(Set<String> excluded, Collection<BackendRecord> backends) {
        final Set<String> all = new HashSet<>(excluded);
        for (final BackendRecord backend : backends) {
            if (!allows(backend)) {
                all.add(backend.backend());
            }
        }
        return all;
    }
}
