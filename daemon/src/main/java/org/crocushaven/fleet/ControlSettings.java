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
 * @param orderPauseMillis time after an election in which no orders are given, since engines that
 *     do not check fences could still get those of the leader before
 * @param rateSlack tokens beyond an organisation's rate that are tolerated in one window
 */
public record ControlSettings(
        String instance,
        Path dataFolder,
        List<String> firstVoters,
        int tolerated,
        long heartbeatMillis,
        long orderPauseMillis,
        double rateSlack) {
    public ControlSettings {
        firstVoters = List.copyOf(firstVoters);
    }
}
