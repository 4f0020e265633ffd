package org.crocushaven.forwarding;

/** The faults and states that the test of crashing prompts must reach. */
enum CrashFault {
    /** A backend server ends on a guilty part. */
    GUILTY_CRASH,
    /** A backend server ends by itself. */
    USUAL_CRASH,
    /** A whole failure domain ends at once. */
    DOMAIN_CRASH,
    /** Many backend servers of all failure domains end at once. */
    MASS_CRASH,
    /** A connection is reset, and its backend server goes on. */
    CONNECTION_RESET,
    /** An answer cannot be read. */
    ANSWER_GARBLED,
    /** Many requests begin with a part that nobody has answered on. */
    POPULAR_PART_BEGAN,
    /** A part has few requests, some of them cut. */
    RARE_PART_BROKEN,
    /** Two parts are guilty at once. */
    TWO_GUILTY_PARTS,
    /** A guilty request comes again and again. */
    GUILTY_REQUEST_REPEATED,
    /** A guilty request is condemned. */
    GUILTY_REQUEST_CONDEMNED,
    /** A sound request, the same each time, is in flight when a backend server ends. */
    POPULAR_REQUEST_BROKEN,
    /** All backend servers end one after the other. */
    WAVE_OF_CRASHES,
    /** A gateway's connections are reset, and all backend servers refuse it. */
    GATEWAY_CUT_OFF,
    /** A gateway starts anew. */
    GATEWAY_RESTARTED,
    /** A report or its answer is lost. */
    REPORT_LOST,
    /** A leader is lost. */
    LEADER_LOST,
    /** A caller sends very many parts. */
    PARTS_FLOODED,
    /** A guilty part is condemned. */
    GUILTY_CONDEMNED,
    /** A request with a guilty part is refused. */
    GUILTY_REFUSED
}
