package org.crocushaven.forwarding;

import org.crocushaven.residency.RegionMap;

/**
 * Contains the settings of a gateway.
 *
 * @param instance name of the instance
 * @param failureDomain failure domain in which the instance runs
 * @param ingress address on which it takes requests, as {@code host:port}
 * @param freshnessMillis maximum age of the control state for serving keyed requests
 * @param retryRatio retries allowed for each first send, over all gateways
 * @param retryExtra additional retries allowed to all gateways together in one window
 * @param regions region of each failure domain
 */
public record GatewaySettings(
        String instance,
        String failureDomain,
        String ingress,
        long freshnessMillis,
        double retryRatio,
        double retryExtra,
        RegionMap regions) {}
