package org.crocushaven.forwarding;

import org.crocushaven.result.ResultException;

/**
 * Decides what follows when an attempt of one request fails: another attempt where that is allowed,
 * else the end of the request. Used on the event loop only.
 */
final class AttemptFailures {
    /** Duration of a wait for a backend server that refuses requests while it loads an adapter. */
    private static final long ADAPTER_WAIT_MILLIS = 50;

    private final ForwardedRequest served;
    private final ForwardingEnvironment environment;
    private final AttemptSuccession succession;
    private final RequestEnd end;
    private final TargetWait targets;
    private final AttemptsInFlight attempts;
    private final RetryState retries;

    AttemptFailures(
            ForwardedRequest served,
            AttemptSuccession succession,
            RequestEnd end,
            TargetWait targets) {
        this.served = served;
        this.environment = served.environment();
        this.succession = succession;
        this.end = end;
        this.targets = targets;
        this.attempts = served.attempts();
        this.retries = served.retries();
    }

    /** Handles a complete answer with which the backend server states its own failure. */
    void failureAnswered(BackendAttempt from) {
        final String backend = from.target().backend().backend();
        retries.recordMayHaveRun(true);
        environment.health().recordFailure(backend, 1, environment.nowNanos());
        served.reportFailedAttempt(from, true, "status " + from.status().code());
        succession.end(from);
        end.keepFailure(served.isStreamStarted() ? null : from);
        retries.exclude(backend);
        if (attempts.isEmpty()) {
            retryOrGiveUp();
        }
    }

    /** Handles an answer which states that the backend server did not run the request. */
    void requestNotRun(BackendAttempt from) {
        if (served.isStale(from)) {
            return;
        }
        final String backend = from.target().backend().backend();
        served.reportFailedAttempt(from, false, "not run, status " + from.status().code());
        succession.end(from);
        final int status = from.status().code();
        final boolean takesRequests = targets.stillUsable(from.target()).isPresent();
        final boolean isMissing = RetryState.isMisdirected(status) && from.target().key() != null;
        if (isMissing) {
            environment.view().removeHolder(backend, from.target().key());
            retries.recordMissingAt(backend);
        }
        if (takesRequests && tryWaitForAdapter(from.target(), status)) {
            waitForAdapter(from.target(), isMissing);
            return;
        }
        if (!isMissing && takesRequests) {
            environment.health().recordFailure(backend, 0.5, environment.nowNanos());
        }
        retries.exclude(backend);
        if (attempts.isEmpty()) {
            retryOrGiveUp();
        }
    }

    /**
     * Waits for an adapter that a backend server does not hold yet as long as the leader expects it
     * to take, or shortly if the backend server refused the request for another reason.
     */
    private void waitForAdapter(Target target, boolean isMissing) {
        if (isMissing) {
            targets.find();
        } else {
            targets.sendLater(target, ADAPTER_WAIT_MILLIS);
        }
    }

    private boolean tryWaitForAdapter(Target target, int status) {
        return attempts.isEmpty()
                && served.remainingMillis() > 0
                && retries.tryWaitForAdapter(target, status)
                && environment.retryBudget().tryRetry(served.admission().service());
    }

    /** Handles an attempt that will not produce a complete answer. */
    void attemptFailed(BackendAttempt from, boolean mayHaveRun, String reason) {
        if (served.isStale(from)) {
            return;
        }
        final String backend = from.target().backend().backend();
        final boolean wasReplacement = from == attempts.replacement();
        retries.recordMayHaveRun(mayHaveRun);
        environment.health().recordFailure(backend, mayHaveRun ? 1 : 2, environment.nowNanos());
        served.reportFailedAttempt(from, mayHaveRun, reason);
        succession.end(from);
        if (mayHaveRun) {
            retries.exclude(backend);
        } else {
            recordNeverReached(backend, wasReplacement);
        }
        if (!attempts.isEmpty()) {
            return;
        }
        if (mayHaveRun) {
            retryOrGiveUp();
        } else {
            tryAnother();
        }
    }

    /** Handles an attempt that is not sent since its backend server wants no requests any more. */
    void withdraw(BackendAttempt unsent) {
        final boolean wasReplacement = unsent == attempts.replacement();
        succession.end(unsent);
        recordNeverReached(unsent.target().backend().backend(), wasReplacement);
        if (attempts.isEmpty()) {
            tryAnother();
        }
    }

    private void recordNeverReached(String backend, boolean wasReplacement) {
        retries.recordNeverReached(backend);
        if (wasReplacement) {
            environment.retryBudget().returnRetry(served.admission().service());
        }
    }

    /** Handles the end of a connection, also where it looks like the end of an answer. */
    void connectionEnded(BackendAttempt from) {
        if (!served.isStale(from)) {
            final long events = succession.splitterOf(from).eventCount() - from.eventsBefore();
            served.guard().recordConnectionEnded(from.target().backend(), events);
        }
    }

    /** Records the end of an answer; one that ends with its connection may have been broken off. */
    void answerEnded(BackendAttempt from) {
        if (from.endsWithConnection()) {
            connectionEnded(from);
        } else {
            served.guard().recordWentOn();
        }
    }

    /** Handles an attempt that is not sent since its prompt was condemned meanwhile. */
    void refuseUnsent(BackendAttempt unsent, ResultException refusal) {
        final boolean wasReplacement = unsent == attempts.replacement();
        succession.end(unsent);
        recordNeverReached(unsent.target().backend().backend(), wasReplacement);
        if (attempts.isEmpty()) {
            end.keepRefusal(refusal);
            end.giveUp();
        }
    }

    /** Handles an unexpected exception while an attempt was sent. */
    void sendFaulted(BackendAttempt attempt, RuntimeException fault) {
        if (!served.isDone() && attempt == attempts.replacement()) {
            environment.observer().faulted(fault, true);
            attempt.abort();
            attemptFailed(attempt, attempt.wasSent(), "unexpected exception");
        } else {
            end.afterFault(fault);
        }
    }

    /** Returns whether the request may be sent to another backend server. */
    boolean mayTryAnother() {
        final boolean isFirst = attempts.isEmpty() && !retries.mayHaveRun();
        return (isFirst || served.guard().mayRepeat())
                && retries.mayTryAnother(
                        served.route(),
                        served.maximumAttempts(),
                        served.isStreamStarted(),
                        succession.splitter().lastEventId().isPresent());
    }

    /**
     * Tries another backend server, when the last one was not reached or the retry budget permits a
     * retry.
     */
    void tryAnother() {
        if (served.remainingMillis() <= 0) {
            giveUp("time");
        } else if (!mayTryAnother()) {
            giveUp("attempts");
        } else {
            succession.splitter().discardPartialEvent();
            targets.find();
        }
    }

    private void retryOrGiveUp() {
        if (!mayTryAnother()) {
            giveUp("attempts");
        } else if (!environment.retryBudget().tryRetry(served.admission().service())) {
            giveUp("budget");
        } else {
            tryAnother();
        }
    }

    private void giveUp(String missing) {
        environment.observer().retryUnavailable(served.request(), missing);
        end.giveUp();
    }
}
