package org.crocushaven.consensus;

/** Faults and states that must each occur at least once in a run of the replica fuzz test. */
enum ReplicaFault {
    MESSAGE_LOST,
    MESSAGE_DOUBLED,
    MESSAGE_LATE,
    ONE_WAY_CUT,
    ISOLATED,
    FROZEN,
    CRASHED,
    DISK_LOST,
    UNSYNCED_LOST,
    UNSYNCED_KEPT,
    TORN_WRITE,
    LEADER_LOST_BEFORE_COMMIT,
    ENTRIES_REPLACED,
    LEADER_CHANGED,
    COMPACTED,
    SNAPSHOT_INSTALLED,
    VOTERS_CHANGED,
    VOTER_ADDED,
    VOTER_REMOVED,
    VOTER_REPLACED,
    SECOND_LOSS_AFTER_REPAIR,
    COMMAND_ACKNOWLEDGED,
    COMMAND_UNKNOWN
}
