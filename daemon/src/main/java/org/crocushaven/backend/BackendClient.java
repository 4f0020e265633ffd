package org.crocushaven.backend;

import java.util.concurrent.CompletableFuture;
import org.crocushaven.configuration.AdapterVersion;

/** Sends requests and orders to backend servers. */
public interface BackendClient {
    /** Sends a request and returns without waiting; the listener receives the answer. */
    BackendCall send(BackendServer server, BackendRequest request, BackendListener listener);

    /**
     * Orders a backend server to load an adapter version; completes once it has confirmed.
     *
     * @param fencingNumber fencing number of the dispatcher lease under which the order is sent
     */
    CompletableFuture<Void> load(BackendServer server, AdapterVersion version, long fencingNumber);

    /** Orders a backend server to unload an adapter version; completes once it has confirmed. */
    CompletableFuture<Void> unload(
            BackendServer server, AdapterVersion version, long fencingNumber);
}
