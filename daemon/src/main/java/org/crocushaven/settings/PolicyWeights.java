package org.crocushaven.settings;

/**
 * Weights of the policy objectives for one deployment, each 0 or more; only their ratios matter.
 *
 * @param loadStalls weight of requests that wait for a load
 * @param worstOrganisation weight of the worst-served organisation
 * @param wrongfulRefusals weight of refusals inside an organisation's rate
 * @param batchEfficiency weight of requests batched with other requests for the same adapter
 */
public record PolicyWeights(
        double loadStalls,
        double worstOrganisation,
        double wrongfulRefusals,
        double batchEfficiency) {
    /** Returns equal weights. */
    public static PolicyWeights equal() {
        return new PolicyWeights(1, 1, 1, 1);
    }
}
