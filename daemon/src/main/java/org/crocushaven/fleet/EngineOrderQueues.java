package org.crocushaven.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

/** Holds the order queue of each engine; a restarted engine gets a new one. Not thread-safe. */
final class EngineOrderQueues {
    private final Function<BackendAnnouncement, EngineOrders> opener;
    private final BackendRegistry registry;
    private final Map<String, EngineOrders> queues = new HashMap<>();

    /**
     * Creates queues that are opened when an engine is first ordered.
     *
     * @param opener opens the orders to one start of an engine
     */
    EngineOrderQueues(
            Function<BackendAnnouncement, EngineOrders> opener, BackendRegistry registry) {
        this.opener = opener;
        this.registry = registry;
    }

    /** Returns the queue of an engine that the registry knows. */
    EngineOrders of(String backend) {
        final BackendAnnouncement announcement = registry.find(backend).orElseThrow();
        final EngineOrders known = queues.get(backend);
        if (known != null && known.isFor(announcement)) {
            return known;
        }
        if (known != null) {
            known.close();
        }
        final EngineOrders opened = opener.apply(announcement);
        queues.put(backend, opened);
        return opened;
    }

    /** Closes the queue of an engine that has ended. */
    void remove(String backend) {
        final EngineOrders removed = queues.remove(backend);
        if (removed != null) {
            removed.close();
        }
    }

    /** Stops sending orders. */
    void close() {
        queues.values().forEach(EngineOrders::close);
    }
}
