package org.crocushaven.forwarding;

/**
 * Settings of a gateway.
 *
 * @param instance name of the instance
 * @param failureDomain where it runs
 * @param freshnessMillis longest age of the control state by which keyed requests are served
 * @param retryRatio repeats for each first send, over all gateways
 * @param retryExtra repeats that all gateways together may make besides, in one window
 */
public record GatewaySettings(
        String instance,
        String failureDomain,
        long freshnessMillis,
        double retryRatio,
        double retryExtra) {}
