package org.crocushaven.forwarding;

/** Faults and states that the randomised test of where streams began must reach. */
enum StreamOriginFault {
    GATEWAY_LOST,
    LEADER_CHANGED,
    REPORT_LOST,
    ANSWER_LOST,
    VERSION_STARTED,
    VERSION_ENDED,
    ANNOUNCEMENTS_MISSED,
    PROPOSAL_LOST,
    COMMITTED_UNKNOWN_TO_LEADER,
    OLDER_STATE,
    OLDER_LEADER,
    LEADER_LOST_AT_NEW_VERSION,
    FOUND_AT_GATEWAY,
    FOUND_AT_LEADER,
    ONLY_VERSION,
    UNKNOWN
}
