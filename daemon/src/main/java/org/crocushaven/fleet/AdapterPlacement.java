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
 * @param readyInMillis time until the adapter is expected to be usable
 */
record AdapterPlacement(
        String backend,
        AdapterKey key,
        long version,
        Optional<AdapterKey> evicted,
        boolean needsLoad,
        boolean fromMemory,
        long readyInMillis) {}
