package org.crocushaven.fleet;

/**
 * Identifies an adapter or a base model.
 *
 * @param model name of the base model
 * @param adapter name of the adapter; empty for the base model itself
 */
public record AdapterKey(String model, String adapter) {
    /** Returns the key of an adapter or base model that an engine holds. */
    public static AdapterKey of(HeldAdapter held) {
        return new AdapterKey(held.model(), held.adapter());
    }
}
