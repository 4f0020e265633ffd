package org.crocushaven.instance;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.crocushaven.residency.RegionMap;

/**
 * Settings of an instance.
 *
 * @param instance name of the instance
 * @param failureDomain failure domain in which the instance runs
 * @param role function of the instance in the fleet
 * @param host IP number on which other instances reach it
 * @param innerPort port for other instances; the same on all instances
 * @param metricsPort port for metrics; 0 for none
 * @param seeds addresses of instances that hold control state, as host:port
 * @param ingress address on which a gateway listens for clients
 * @param readiness address on which a gateway reports whether it is ready
 * @param control address on which an instance with control state listens for operators and backend
 *     servers
 * @param dataFolder folder of the control state
 * @param bootstrap whether the fleet starts for the first time; the seeds are then the first voters
 * @param toleratedInstances instances with control state that may be lost at once
 * @param heartbeatMillis time between two heartbeats of a backend server
 * @param keyWithdrawalMillis time within which a withdrawn key must stop working everywhere
 * @param orderLeaseMillis time after an election in which the new leader sends no orders, so that
 *     an engine does not receive orders of two leaders; unused if engines check fencing tokens
 * @param enginesCheckFences whether engines themselves refuse orders with an outdated fencing token
 * @param stopGraceMillis maximum duration of a stop
 * @param retryRatio retries allowed for each first send of a request, over all gateways
 * @param retryExtra additional retries allowed to all gateways together in any time window
 * @param rateSlack tokens beyond an organisation's rate that are tolerated in any time window
 * @param failureDomains all failure domains; empty if the file does not name them
 * @param regions region of each failure domain, as far as the file names them
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
        double rateSlack,
        List<String> failureDomains,
        RegionMap regions) {
    public InstanceSettings {
        seeds = List.copyOf(seeds);
        failureDomains = List.copyOf(failureDomains);
    }

    /** Returns the hosts of the seeds, which are the names of the instances there. */
    public List<String> seedHosts() {
        return seeds.stream().map(seed -> seed.substring(0, seed.lastIndexOf(':'))).toList();
    }

    /** Function of an instance in the fleet. */
    public enum Role {
        /** Serves clients. */
        GATEWAY,
        /** Holds control state. */
        CONTROL
    }
}
