package org.crocushaven.routing;

import java.util.Optional;
import java.util.Set;
import org.crocushaven.configuration.AdapterVersion;

/**
 * A request for which a backend server is to be chosen.
 *
 * @param requestId identifier of the request
 * @param service the service
 * @param version the adapter version; empty for the base model and for plain services
 * @param failureDomain the failure domain in which the request arrived
 * @param prefixHolder a backend server that may have cached the prompt's prefix; a hint
 * @param excluded backend servers that were already tried
 * @param nowNanos the current time
 */
public record RouteQuery(
        String requestId,
        String service,
        Optional<AdapterVersion> version,
        String failureDomain,
        Optional<String> prefixHolder,
        Set<String> excluded,
        long nowNanos) {
    public RouteQuery {
        excluded = Set.copyOf(excluded);
    }
}
