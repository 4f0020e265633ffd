package org.crocushaven.instance;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * Settings of an instance.
 *
 * @param instance its name
 * @param failureDomain where it runs
 * @param role what it does
 * @param host address on which other instances reach it
 * @param innerPort port for other instances; the same on all instances
 * @param metricsPort port for its measures; 0 for none
 * @param seeds addresses of instances that hold control state, as host:port
 * @param ingress where a gateway listens for clients
 * @param readiness where a gateway tells whether it is ready
 * @param control where an instance with control state listens for operators and backend servers
 * @param dataFolder where it keeps control state
 * @param bootstrap whether the whole fleet starts for the first time
 * @param toleratedInstances instances with control state that may be lost at once
 * @param heartbeatMillis time between two heartbeats of a backend server
 * @param keyWithdrawalMillis time within which a withdrawn key must stop working everywhere
 * @param orderLeaseMillis time within which two instances must not both give orders to an engine
 * @param enginesCheckFences whether engines refuse orders of an earlier holder themselves
 * @param stopGraceMillis longest time that a stop may take
 * @param retryRatio repeats for each first send, over all gateways
 * @param retryExtra repeats that all gateways together may make besides, in one window
 * @param rateSlack tokens beyond an organisation's rate that are tolerated in one window
 */
public record InstanceSettings(
        String instance,
        String failureDomain,
        Role role,
        String host,
        int innerPort,
        int metricsPort,
        List<String> seeds,
        Optional<InetSocketAddress> ingress,
        Optional<InetSocketAddress> readiness,
        Optional<InetSocketAddress> control,
        Optional<Path> dataFolder,
        boolean bootstrap,
        int toleratedInstances,
        long heartbeatMillis,
        long keyWithdrawalMillis,
        long orderLeaseMillis,
        boolean enginesCheckFences,
        long stopGraceMillis,
        double retryRatio,
        double retryExtra,
        double rateSlack) {
    public InstanceSettings {
        seeds = List.copyOf(seeds);
    }

    /** Returns the hosts of the seeds, which are the names of the instances there. */
    public List<String> seedHosts() {
        return seeds.stream().map(seed -> seed.substring(0, seed.lastIndexOf(':'))).toList();
    }

    /** What an instance does. */
    public enum Role {
        /** Serves clients. */
        GATEWAY,
        /** Holds control state. */
        CONTROL
    }
}
