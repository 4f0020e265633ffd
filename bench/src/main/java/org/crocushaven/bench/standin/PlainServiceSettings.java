package org.crocushaven.bench.standin;

import java.util.List;

/**
 * Describes the identity and capacity of a stand-in plain service.
 *
 * @param name unique name of the backend server
 * @param service the plain service that it announces
 * @param failureDomain its failure domain
 * @param host IP address on which it listens
 * @param port TCP port; 0 picks a free port
 * @param announcementAddresses {@code host:port} addresses that receive its announcements
 * @param concurrentRequests number of concurrent requests that it announces
 */
public record PlainServiceSettings(
        String name,
        String service,
        String failureDomain,
        String host,
        int port,
        List<String> announcementAddresses,
        int concurrentRequests) {
    public PlainServiceSettings {
        announcementAddresses = List.copyOf(announcementAddresses);
    }
}
