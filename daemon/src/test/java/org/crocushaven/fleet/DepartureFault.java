package org.crocushaven.fleet;

/** The faults and states that the test of departures must reach. */
enum DepartureFault {
    /** The leader is cut off from all others. */
    LEADER_ISOLATED,
    /** Another instance is cut off. */
    FOLLOWER_ISOLATED,
    /** An instance restarts and knows only what it stored. */
    RESTARTED,
    /** Announcements that are passed on without an answer are lost. */
    ANNOUNCEMENTS_LOST,
    /** A heartbeat from before a departure arrives after it. */
    LATE_HEARTBEAT,
    /** A departure is acknowledged. */
    ACKNOWLEDGED,
    /** A departure is not acknowledged. */
    UNACKNOWLEDGED,
    /** A backend server starts again under its identifier. */
    STARTED_AGAIN,
    /** A leader that was elected after an acknowledgement answers a report. */
    LATER_LEADER
}
