package org.crocushaven.forwarding;

import java.util.concurrent.CompletableFuture;
import org.crocushaven.fleet.AdapterAsk;
import org.crocushaven.fleet.AdapterGrant;

/** Finds a place for an adapter that no known backend server can serve. */
interface AdapterSource {
    /** Asks the leader; fails when none can be reached. Completes on the event loop. */
    CompletableFuture<AdapterGrant> ask(AdapterAsk ask);
}
