package org.crocushaven.ingress;

/**
 * Refers to a base model or to one of its adapters.
 *
 * @param model name of the base model
 * @param adapter name of the adapter; an empty string for the base model itself
 */
public record ModelReference(String model, String adapter) {
    /** Returns whether this refers to an adapter. */
    public boolean hasAdapter() {
        return !adapter.isEmpty();
    }

    @Override
    public String toString() {
        return hasAdapter() ? model + '/' + adapter : model;
    }
}
