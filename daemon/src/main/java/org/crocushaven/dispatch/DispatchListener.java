package org.crocushaven.dispatch;

import org.crocushaven.backend.BackendServer;
import org.crocushaven.configuration.AdapterVersion;
import org.crocushaven.coordination.DispatchAssignment;
import org.crocushaven.result.ResultCode;

/** Receives placement decisions and their outcomes for logs and metrics. */
public interface DispatchListener {
    /** Called when this instance starts to dispatch for a backend server. */
    void dispatchingStarted(DispatchAssignment assignment);

    /** Called when this instance no longer dispatches for a backend server. */
    void dispatchingEnded(String backendServer, long fencingNumber);

    /** Called when a load order has ended, with its duration in nanoseconds. */
    void loadEnded(BackendServer server, AdapterVersion version, ResultCode code, long nanos);

    /** Called when an unload order has ended. */
    void unloadEnded(BackendServer server, AdapterVersion version, ResultCode code);
}
