package org.crocushaven.fleet;

import java.util.Optional;

/**
 * The engine on which an adapter is used, and the load that this requires.
 *
 * @param backend identifier of the engine
 * @param key the adapter
 * @param version version that is loaded or is to be loaded; 0 for the newest
 * @param evicted adapter that must be unloaded first
 * @param needsLoad whether the adapter must be loaded
 * @param fromMemory whether the engine has it in its own memory
 * @param queueDelayMillis delay before the load is ordered, so that the weight store is not
 *     overloaded
 * @param loadMillis duration of the load after that delay
 */
record AdapterPlacement(
        String backend,
        AdapterKey key,
        long version,
        Optional<AdapterKey> evicted,
        boolean needsLoad,
        boolean fromMemory,
        long queueDelayMillis,
        long loadMillis) {
    /**
     * Time from the end of the queue delay until the order is accepted: 1 to 16 ms, plus timer
     * delays.
     */
    private static final long ORDER_MILLIS = 25;

    /** Returns the time until the adapter is expected to be usable, in milliseconds. */
    long readyInMillis() {
        return queueDelayMillis > 0 ? queueDelayMillis + ORDER_MILLIS + loadMillis : loadMillis;
    }
}
