package org.crocushaven.fleet;

import java.nio.file.Path;
import java.util.List;

/**
 * Settings of an instance that holds control state.
 *
 * @param instance name of the instance, by which the others reach it
 * @param dataFolder where it keeps its state
 * @param firstVoters voters of a group that begins now; empty when none begins
 * @param tolerated instances with control state that may be lost at once
 * @param heartbeatMillis time between two heartbeats of a backend server
 * @param orderLeaseMillis time within which two instances must not both give orders to an engine
 */
public record ControlSettings(
        String instance,
        Path dataFolder,
        List<String> firstVoters,
        int tolerated,
        long heartbeatMillis,
        long orderLeaseMillis) {
    public ControlSettings {
        firstVoters = List.copyOf(firstVoters);
    }
}
