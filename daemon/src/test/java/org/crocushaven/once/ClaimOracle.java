package org.crocushaven.once;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.crocushaven.fuzz.FaultCounts;

/**
 * Records what callers and the backend server observed of each call, and checks the at-most-once
 * invariants.
 */
final class ClaimOracle {
    private final FaultCounts<ClaimFault> counts;
    private final Map<ClaimKey, String> answers = new HashMap<>();
    private final Set<ClaimKey> mayHaveSent = new HashSet<>();
    private final Set<ClaimKey> requestedToSend = new HashSet<>();
    private final Set<ClaimKey> lostAfterSendRequest = new HashSet<>();
    private final Set<ClaimKey> answeredUnknown = new HashSet<>();
    private final Map<ClaimKey, Integer> attempts = new HashMap<>();

    private String firstViolation;

    ClaimOracle(FaultCounts<ClaimFault> counts) {
        this.counts = counts;
    }

    void attempted(ClaimKey key) {
        attempts.merge(key, 1, Integer::sum);
    }

    /** Records a run; at most one attempt may reach the backend server. */
    void ran(ClaimKey key, String answer) {
        require(answers.putIfAbsent(key, answer) == null, "ran twice: " + key);
        if (attempts.get(key) > 1) {
            counts.count(ClaimFault.RAN_IN_LATER_ATTEMPT);
        }
    }

    /** Records that an attempt has asked whether it may send. */
    void recordSendRequest(ClaimKey key) {
        requestedToSend.add(key);
    }

    /** Records the loss of an attempt that was allowed to send. */
    void recordLossWhileSending(ClaimKey key) {
        mayHaveSent.add(key);
    }

    /** Records the loss of an attempt that had asked whether it may send. */
    void recordLossAfterSendRequest(ClaimKey key) {
        lostAfterSendRequest.add(key);
    }

    /** Records the answer to a resend, which must be the first answer. */
    void replayed(ClaimKey key, String answer) {
        counts.count(ClaimFault.REPLAYED);
        require(answer.equals(answers.get(key)), "other answer than the first: " + key);
        if (answeredUnknown.contains(key)) {
            counts.count(ClaimFault.UNKNOWN_BECAME_FINISHED);
        }
    }

    /** Records an unknown outcome, which is allowed only when an attempt had asked to send. */
    void unknown(ClaimKey key) {
        counts.count(ClaimFault.ANSWERED_UNKNOWN);
        answeredUnknown.add(key);
        require(requestedToSend.contains(key), "unknown though nothing was sent: " + key);
    }

    /**
     * Checks the final decision on a call: it must be granted if the call provably never ran, and
     * must not be granted if the call may have run.
     */
    void settled(ClaimKey key, ClaimDecision decision) {
        final boolean mayHaveRun = answers.containsKey(key) || mayHaveSent.contains(key);
        require(!(mayHaveRun && decision.isGranted()), key + " could run again");
        require(
                mayHaveRun || lostAfterSendRequest.contains(key) || decision.isGranted(),
                key + " never ran but is refused: " + decision.kind());
    }

    /**
     * Fails with the first violation. Violations are stored until then, because an error thrown in
     * a callback of a future would be lost.
     */
    void verify() {
        if (firstViolation != null) {
            throw new AssertionError(firstViolation);
        }
    }

    void require(boolean condition, String violation) {
        if (!condition && firstViolation == null) {
            firstViolation = violation;
        }
    }
}
