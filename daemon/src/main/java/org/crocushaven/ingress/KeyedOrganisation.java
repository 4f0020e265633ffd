package org.crocushaven.ingress;

import java.util.List;
import java.util.OptionalInt;

/**
 * Describes an organisation with its keys and its rate limit.
 *
 * @param name unique name
 * @param keys keys that its clients present
 * @param priority priority that overrides the route's; empty when the route's applies
 * @param countsTokens whether its rate counts tokens; otherwise it counts requests
 * @param defaultTokens number of tokens charged for a request without declared usage
 * @param allowedPerSecond rate limit over all instances together; 0 for no limit
 * @param burst maximum amount that may be used at once beyond the rate
 * @param allowedRegions regions in which its requests may run; empty for all
 */
public record KeyedOrganisation(
        String name,
        List<String> keys,
        OptionalInt priority,
        boolean countsTokens,
        long defaultTokens,
        long allowedPerSecond,
        long burst,
        List<String> allowedRegions) {
    public KeyedOrganisation {
        keys = List.copyOf(keys);
        allowedRegions = List.copyOf(allowedRegions);
    }

    /** Returns whether the organisation has a rate limit. */
    public boolean hasRateLimit() {
        return allowedPerSecond > 0;
    }

    /** Returns the amount that a request counts against the rate limit. */
    public long chargeOf(IngressRequest request) {
        if (!countsTokens) {
            return 1;
        }
        return request.usage().map(DeclaredUsage::total).orElse(defaultTokens);
    }
}
