package org.crocushaven.backend;

/** Receives the changes of the directory of backend servers, in the order in which they occur. */
public interface BackendDirectoryListener {
    /**
     * Called when a new backend server or a new incarnation has registered; state of an older
     * incarnation is no longer valid.
     */
    void registered(BackendServer server);

    /** Called when a backend server has reported its load. */
    void reported(BackendServer server, LoadReport report);

    /** Called when a backend server accepts no new work any more. */
    void draining(BackendServer server);

    /** Called when a backend server has left. */
    void left(BackendServer server);

    /**
     * Called when no heartbeat arrived in time; the backend server is not used until its next
     * heartbeat, for which {@link #reported} is called.
     */
    void lost(BackendServer server);
}
