package org.crocushaven.once;

/** Faults and states that must each occur in a run of the claim fuzz test. */
enum ClaimFault {
    ANSWER_LOST,
    COMMAND_LOST,
    COMMAND_DOUBLED_LATE,
    CLAIMER_CRASHED,
    CRASHED_AFTER_CLAIM,
    CRASHED_WHILE_SENDING,
    LIVE_CLAIMER_EXPIRED,
    SEND_SUPERSEDED,
    RELEASED_UNSENT,
    REPLAYED,
    ANSWERED_IN_FLIGHT,
    ANSWERED_UNKNOWN,
    UNKNOWN_BECAME_FINISHED,
    ANSWERED_CONTENT_DIFFERS,
    RAN_IN_LATER_ATTEMPT
}
