package org.crocushaven.fleet;

/**
 * Names an adapter, or a base model.
 *
 * @param model name of the base model
 * @param adapter name of the adapter; empty text for the base model itself
 */
public record AdapterKey(String model, String adapter) {
    /** Returns the name of what an engine holds. */
    public static AdapterKey of(HeldAdapter held) {
        return new AdapterKey(held.model(), held.adapter());
    }
}
