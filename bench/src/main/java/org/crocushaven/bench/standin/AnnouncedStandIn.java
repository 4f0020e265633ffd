package org.crocushaven.bench.standin;

import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Supplies what an {@link Announcer} sends to announce a stand-in backend server. */
interface AnnouncedStandIn {
    /** Returns the unique name of the backend server. */
    String name();

    /** Returns the fields of a registration, except for the incarnation. */
    Map<String, Object> registration();

    /** Returns the load fields of a heartbeat. */
    CompletableFuture<Map<String, Object>> load();
}
