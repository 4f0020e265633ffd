package org.crocushaven.bench.standin;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What a stand-in backend server announces about itself when it starts.
 *
 * @param name its unique name
 * @param service the service that it serves
 * @param failureDomain the failure domain in which it runs
 * @param host the host on which it serves
 * @param port the port on which it serves
 * @param adapterSlots how many adapter versions it can hold; 0 for a plain service
 * @param concurrentRequests how many requests it runs at once
 * @param checksFencing whether it refuses old fencing numbers
 */
record Registration(
        String name,
        String service,
        String failureDomain,
        String host,
        int port,
        int adapterSlots,
        int concurrentRequests,
        boolean checksFencing) {
    /** Returns the fields of the announcement, except for the incarnation. */
    Map<String, Object> fields() {
        final Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("name", name);
        fields.put("service", service);
        fields.put("failure_domain", failureDomain);
        fields.put("host", host);
        fields.put("port", port);
        fields.put("adapter_slots", adapterSlots);
        fields.put("concurrent_requests", concurrentRequests);
        fields.put("checks_fencing", checksFencing);
        return fields;
    }
}
