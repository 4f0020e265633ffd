package org.crocushaven.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * The validated settings of one daemon.
 *
 * @param instance unique name of the instance
 * @param failureDomain the failure domain in which it runs
 * @param host IP number on which it listens
 * @param callerPort TCP port for callers
 * @param operatorPort TCP port for operators and the platform
 * @param innerPort TCP port for other instances
 * @param announcementPort TCP port for announcements of backend servers
 * @param seeds addresses of peers, {@code host:innerPort}
 * @param dataFolder folder for the instance's own state; present on voters only
 * @param initialVoters names of the instances that are voters when the fleet first starts
 * @param operatorKeyHash SHA-256 of the operator key, hexadecimal
 * @param limits limits for callers
 * @param loadBudget limits on loads from the weight store
 * @param weights weights of the policy objectives for this deployment
 */
public record DaemonSettings(
        String instance,
        String failureDomain,
        String host,
        int callerPort,
        int operatorPort,
        int innerPort,
        int announcementPort,
        List<String> seeds,
        Optional<Path> dataFolder,
        List<String> initialVoters,
        String operatorKeyHash,
        CallerLimits limits,
        LoadBudgetSettings loadBudget,
        PolicyWeights weights) {
    public DaemonSettings {
        seeds = List.copyOf(seeds);
        initialVoters = List.copyOf(initialVoters);
    }
}
