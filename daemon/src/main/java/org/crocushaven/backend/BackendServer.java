package org.crocushaven.backend;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * The properties that a backend server announced when it registered.
 *
 * @param name unique name
 * @param service the service to which it belongs
 * @param failureDomain the failure domain in which it runs
 * @param host IP address
 * @param port TCP port for requests and orders
 * @param incarnation number that increases with each start of the backend server
 * @param adapterSlots number of adapter versions that it can keep loaded; 0 for a plain service
 * @param concurrentRequests number of requests that it serves at once
 * @param checksFencing whether it refuses orders with an outdated fencing number
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record BackendServer(
        String name,
        String service,
        String failureDomain,
        String host,
        int port,
        long incarnation,
        int adapterSlots,
        int concurrentRequests,
        boolean checksFencing) {}
