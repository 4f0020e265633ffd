package org.crocushaven.ingress;

import java.util.List;
import java.util.OptionalInt;

/**
 * An organisation with its keys and its rate.
 *
 * @param name unique name
 * @param keys keys that its callers present
 * @param priority rank that goes before the route's; empty when the route's holds
 * @param countsTokens whether its rate counts tokens; otherwise it counts requests
 * @param plainTokens tokens that a request without declared usage counts for
 * @param allowedPerSecond rate over all instances together; 0 for no bound
 * @param burst most that may be used at once beyond the rate
 */
public record KeyedOrganisation(
        String name,
        List<String> keys,
        OptionalInt priority,
        boolean countsTokens,
        long plainTokens,
        long allowedPerSecond,
        long burst) {
    public KeyedOrganisation {
        keys = List.copyOf(keys);
    }

    /** Returns whether its rate is bounded. */
    public boolean isBounded() {
        return allowedPerSecond > 0;
    }

    /** Returns what a request counts for against the rate. */
    public long chargeOf(IngressRequest request) {
        if (!countsTokens) {
            return 1;
        }
        return request.usage().map(DeclaredUsage::total).orElse(plainTokens);
    }
}
