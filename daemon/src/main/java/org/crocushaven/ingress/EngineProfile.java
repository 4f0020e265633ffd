package org.crocushaven.ingress;

import java.util.List;

/**
 * What the engines of a service can do.
 *
 * @param slots requests that run at once
 * @param cacheTokens tokens that running requests and kept prompts may occupy
 * @param weightsMegabytes room for weights and adapters
 * @param adapterSlots most adapters held at once
 * @param loadsPerSecond loads that the weight store allows over all engines
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
