package org.crocushaven.status;

/**
 * The status of a voter of the control group.
 *
 * @param instance name of the instance
 * @param failureDomain its failure domain; empty when the instance is not known
 * @param state state of the instance
 * @param leader whether it leads the control group
 */
public record VoterStatus(String instance, String failureDomain, String state, boolean leader) {}
