package org.crocushaven.fleet;

import java.util.Optional;

/**
 * Where an adapter goes.
 *
 * @param backend the engine
 * @param key the adapter
 * @param version version that is there or is to be loaded; 0 for the newest
 * @param victim adapter that must leave first
 * @param needsLoad whether the adapter must be loaded
 * @param fromMemory whether the engine has it in its own memory
 * @param turnInMillis when it may be ordered, so that the weight store is not crowded
 * @param loadMillis how long it takes then
 */
record AdapterPlacement(
        String backend,
        AdapterKey key,
        long version,
        Optional<AdapterKey> victim,
        boolean needsLoad,
        boolean fromMemory,
        long turnInMillis,
        long loadMillis) {
    /** Time from an adapter's turn until its order is accepted; 1 to 16 ms measured, and timers. */
    private static final long ORDER_MILLIS = 25;

    /** Returns when the adapter is expected to be usable, in milliseconds. */
    long readyInMillis() {
        return turnInMillis > 0 ? turnInMillis + ORDER_MILLIS + loadMillis : loadMillis;
    }
}
