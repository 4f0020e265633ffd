package org.crocushaven.coordination;

/**
 * Timing of the sessions between instances and the leader.
 *
 * @param heartbeatMillis time between two heartbeats, in milliseconds
 * @param answerTimeoutMillis timeout of one heartbeat, in milliseconds
 * @param leaseMillis length of a session lease, in milliseconds
 * @param driftMillis maximum drift between two clocks during one lease, in milliseconds
 * @param announcementValidityMillis time for which an announcement to an instance counts as recent,
 *     in milliseconds
 * @param backendRemovalMillis time without announcements after which a backend server is removed,
 *     in milliseconds
 */
public record SessionSettings(
        long heartbeatMillis,
        long answerTimeoutMillis,
        long leaseMillis,
        long driftMillis,
        long announcementValidityMillis,
        long backendRemovalMillis) {
    public static final long DEFAULT_HEARTBEAT_MILLIS = 250;
    public static final long DEFAULT_ANSWER_TIMEOUT_MILLIS = 400;
    public static final long DEFAULT_LEASE_MILLIS = 2_000;
    public static final long DEFAULT_DRIFT_MILLIS = 100;
    public static final long DEFAULT_ANNOUNCEMENT_VALIDITY_MILLIS = 2_000;
    public static final long DEFAULT_BACKEND_REMOVAL_MILLIS = 30_000;

    /** Returns the default settings. */
    public static SessionSettings defaults() {
        return new SessionSettings(
                DEFAULT_HEARTBEAT_MILLIS,
                DEFAULT_ANSWER_TIMEOUT_MILLIS,
                DEFAULT_LEASE_MILLIS,
                DEFAULT_DRIFT_MILLIS,
                DEFAULT_ANNOUNCEMENT_VALIDITY_MILLIS,
                DEFAULT_BACKEND_REMOVAL_MILLIS);
    }
}
