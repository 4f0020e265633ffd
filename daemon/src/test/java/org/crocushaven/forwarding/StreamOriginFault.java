package org.crocushaven.forwarding;

/** Faults and states that the randomised test of where streams began must reach. */
enum StreamOriginFault {
    GATEWAY_LOST,
    LEADER_CHANGED,
    REPORT_LOST,
    ANSWER_LOST,
    VERSION_STARTED,
    VERSION_ENDED,
    FOUND_AT_GATEWAY,
    FOUND_AT_LEADER,
    ONLY_VERSION,
    UNKNOWN
}
