package org.crocushaven.ingress;

/**
 * Names a base model or an adapter of it.
 *
 * @param model name of the base model
 * @param adapter name of the adapter; empty text for the base model itself
 */
public record ModelReference(String model, String adapter) {
    /** Returns whether an adapter is named. */
    public boolean hasAdapter() {
        return !adapter.isEmpty();
    }

    @Override
    public String toString() {
        return hasAdapter() ? model + '/' + adapter : model;
    }
}
