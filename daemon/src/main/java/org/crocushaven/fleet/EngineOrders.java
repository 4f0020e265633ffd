package org.crocushaven.fleet;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Takes the orders for one start of an engine and its reports. Used on one event loop only. */
interface EngineOrders {
    /** Sends an order once those before it are answered. The returned future never fails. */
    CompletableFuture<OrderOutcome> submit(EngineOrder order);

    /**
     * Requests a report of what the engine holds. The result is empty if the engine does not
     * answer, if an order or another report request is pending, or if the report is older than the
     * last answered order or than an order queued meanwhile. The returned future never fails.
     */
    CompletableFuture<Optional<EngineReport>> requestReport();

    /** Returns whether an order or report request is in flight, or an order is queued. */
    boolean isBusy();

    /**
     * Returns whether an announcement is of the engine that gets these orders, at the same address
     * and without a restart in between.
     */
    boolean isFor(BackendAnnouncement announcement);

    /** Stops sending orders; queued and later ones complete as fenced. */
    void close();
}
