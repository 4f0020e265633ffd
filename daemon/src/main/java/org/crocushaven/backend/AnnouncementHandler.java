package org.crocushaven.backend;

/**
 * Receives the announcements of backend servers.
 *
 * <p>Each method throws a {@code ResultException} to refuse the announcement.
 */
public interface AnnouncementHandler {
    /** Registers a backend server. */
    void register(BackendServer server);

    /** Records a heartbeat of a registered backend server, with its load. */
    void recordHeartbeat(String name, LoadReport report);

    /**
     * Marks a backend server as draining; it accepts no new work and stops once its requests are
     * complete.
     */
    void startDraining(String name, long incarnation);

    /** Removes a backend server that has left. */
    void remove(String name, long incarnation);
}
