/**
 * Implements the replicated log: elections, leader leases, replication, snapshots and voter
 * changes.
 *
 * <p>{@link org.crocushaven.consensus.ReplicaCore} performs no I/O: inputs and the time are passed
 * in, and actions are returned.
 */
package org.crocushaven.consensus;
