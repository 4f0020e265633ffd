package org.crocushaven.ingress;

/**
 * Describes a base model that the engines of a service can hold.
 *
 * @param name name of the base model
 * @param weightsMegabytes size of its weights
 * @param loadMillis time to load it from the weight store
 * @param adapters number of its adapters
 * @param adapterMegabytes size of one adapter
 */
public record BaseModel(
        String name,
        double weightsMegabytes,
        double loadMillis,
        int adapters,
        double adapterMegabytes) {}
