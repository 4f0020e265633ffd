package org.crocushaven.status;

import java.util.List;
import java.util.Optional;

/**
 * The fleet as one instance sees it.
 *
 * @param instance name of the instance that answers
 * @param revision revision of the configuration in force there
 * @param leader name of the instance that leads the control group, if known
 * @param term term of the control group
 * @param controlStateAgeMillis time since the leader's lease was last confirmed there
 * @param instances every known instance
 */
public record FleetStatus(
        String instance,
        long revision,
        Optional<String> leader,
        long term,
        long controlStateAgeMillis,
        List<InstanceStatus> instances) {
    public FleetStatus {
        instances = List.copyOf(instances);
    }
}
