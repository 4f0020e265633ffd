package org.crocushaven.status;

/**
 * The status of an instance.
 *
 * @param name unique name
 * @param failureDomain the failure domain in which it runs
 * @param state alive, leaving, suspect, crashed or left
 * @param voter whether it votes in the control group
 * @param incarnation number that increases with each start
 * @param callerAddress IP address and port for callers
 * @param operatorAddress IP address and port for operators
 */
public record InstanceStatus(
        String name,
        String failureDomain,
        String state,
        boolean voter,
        long incarnation,
        String callerAddress,
        String operatorAddress) {}
