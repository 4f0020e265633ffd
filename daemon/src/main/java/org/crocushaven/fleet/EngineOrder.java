package org.crocushaven.fleet;

import java.util.OptionalLong;

/**
 * An order to an engine.
 *
 * @param operation what to do
 * @param model name of the base model
 * @param adapter name of the adapter; empty text for the base model itself
 * @param version version to load; empty for the newest
 */
public record EngineOrder(Operation operation, String model, String adapter, OptionalLong version) {
    /** Returns the order to load an adapter, or a base model when the adapter is empty text. */
    public static EngineOrder load(String model, String adapter, OptionalLong version) {
        return new EngineOrder(Operation.LOAD, model, adapter, version);
    }

    /** Returns the order to unload an adapter. */
    public static EngineOrder unload(String model, String adapter) {
        return new EngineOrder(Operation.UNLOAD, model, adapter, OptionalLong.empty());
    }

    /** What an order asks for. */
    public enum Operation {
        /** Load weights on the engine. */
        LOAD,
        /** Unload weights once no request uses them. */
        UNLOAD
    }
}
