package org.crocushaven.ingress;

import java.util.List;

/**
 * Describes the capacity of each engine of a service.
 *
 * @param slots maximum number of concurrently running requests
 * @param cacheTokens capacity of the cache, in tokens, for running requests and retained prompts
 * @param weightsMegabytes memory for base models and adapters, in megabytes
 * @param adapterSlots maximum number of adapters held at once
 * @param loadsPerSecond number of loads from the weight store that may start per second, over all
 *     engines
 * @param models base models of the service
 */
public record EngineProfile(
        int slots,
        long cacheTokens,
        double weightsMegabytes,
        int adapterSlots,
        double loadsPerSecond,
        List<BaseModel> models) {
    public EngineProfile {
        models = List.copyOf(models);
    }
}
