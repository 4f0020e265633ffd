package org.crocushaven.routing;

/**
 * Settings of {@link AffinityRouting}.
 *
 * @param replicaExcess queued requests in excess of the free request slots above which a server
 *     counts as overloaded and a replica is considered
 * @param homeExcess queued requests in excess of the free request slots up to which a server is
 *     chosen first for versions that it has not loaded
 */
public record AffinitySettings(int replicaExcess, int homeExcess) {
    /** Returns the default settings. */
    public static AffinitySettings defaults() {
        return new AffinitySettings(4, 0);
    }
}
