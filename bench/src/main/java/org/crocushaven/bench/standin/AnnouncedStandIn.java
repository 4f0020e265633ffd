package org.crocushaven.bench.standin;

import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Supplies what an {@link Announcer} sends to announce a stand-in backend server. */
interface AnnouncedStandIn {
    /** Returns the unique name of the backend server. */
    String name();

    /** Returns what the backend server announces about itself when it starts. */
    Registration registration();

    /** Returns the fields of a heartbeat that report the load of the backend server. */
    CompletableFuture<Map<String, Object>> heartbeatLoad();
}
