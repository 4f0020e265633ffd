package org.crocushaven.fleet;

import java.nio.file.Path;
import java.util.List;

/**
 * Settings of an instance that holds control state.
 *
 * @param instance name of the instance, by which the others reach it
 * @param dataFolder folder of its stored state
 * @param firstVoters initial voters of a new group; empty if no group is created
 * @param toleratedLosses number of instances with control state that may be lost at once
 * @param heartbeatMillis time between two heartbeats of a backend server
 * @param orderPauseMillis time after an election in which no orders are sent, because engines that
 *     do not check fencing tokens could still receive orders of the previous leader
 * @param rateSlack tokens beyond an organisation's rate that are tolerated in one window
 * @param failureDomains all failure domains; empty if the settings do not name them
 */
public record ControlSettings(
        String instance,
        Path dataFolder,
        List<String> firstVoters,
        int toleratedLosses,
        long heartbeatMillis,
        long orderPauseMillis,
        double rateSlack,
        List<String> failureDomains) {
    public ControlSettings {
        firstVoters = List.copyOf(firstVoters);
        failureDomains = List.copyOf(failureDomains);
    }
}
