package org.crocushaven.routing;

/**
 * Settings of {@link AffinityRouting}.
 *
 * @param replicaExcess maximum {@link BackendView#excess} at which a server with the version does
 *     not count as overloaded; the excess at a replica must be lower by more than this
 * @param homeExcess maximum {@link BackendView#excess} at which a server on the hash ring does not
 *     count as overloaded
 */
public record AffinitySettings(int replicaExcess, int homeExcess) {
    /** Returns the default settings. */
    public static AffinitySettings defaults() {
        return new AffinitySettings(4, 0);
    }
}
