package org.crocushaven.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.crocushaven.result.Execution;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.crocushaven.result.StopRefusals;

/**
 * Ends one request with an answer, a refusal or an abort, and reports it.
 *
 * <p>A refusal states that the request did not run only if each send to a backend server failed
 * before the request could reach it, or was answered with the statement that the request did not
 * run. Used on the event loop only.
 */
final class RequestEnd {
    private static final long NO_RETRY_TOLD = -1;
    private static final Duration REFUSAL_RETRY_DELAY = Duration.ofMillis(300);

    private final ForwardedRequest served;
    private final ForwardingEnvironment environment;
    private final ByteBuf body;
    private final ClientAnswer client;
    private final AttemptSuccession succession;
    private final PauseMeter pauses;
    private final RetryState retries;
    private ScheduledFuture<?> limitTimer;
    private ResultException lastRefusal;
    private BackendAttempt lastFailure;
    private HandOver handOver;
    private long retryMillis = NO_RETRY_TOLD;

    /**
     * Creates the end of one request.
     *
     * @param body the request's body, which is released at the end
     */
    RequestEnd(
            ForwardedRequest served,
            ByteBuf body,
            ClientAnswer client,
            AttemptSuccession succession,
            PauseMeter pauses) {
        this.served = served;
        this.environment = served.environment();
        this.body = body;
        this.client = client;
        this.succession = succession;
        this.pauses = pauses;
        this.retries = served.retries();
    }

    /** Sets what may hand the request over, and is ended with it. */
    void handOverTo(HandOver used) {
        handOver = used;
    }

    /** Starts the time limit. */
    void startTimeLimit() {
        limitTimer =
                environment
                        .loop()
                        .schedule(
                                () -> orAfterFault(this::timeLimitReached),
                                served.remainingMillis(),
                                TimeUnit.MILLISECONDS);
    }

    /** Keeps a refusal for the case that no backend server can be found. */
    void keepRefusal(ResultException refusal) {
        lastRefusal = refusal;
    }

    /** Keeps a backend server's own failure for the case that no other answers; null for none. */
    void keepFailure(BackendAttempt failure) {
        lastFailure = failure;
    }

    /** Ends the request after an unexpected exception, rather than hold it to its time limit. */
    void afterFault(Throwable fault) {
        environment.observer().faulted(fault, !served.isDone());
        if (served.isDone()) {
            return;
        }
        if (served.isStreamStarted()) {
            client.abort();
            finish(ResultCode.ANSWER_INCOMPLETE, 0, "unexpected exception");
        } else {
            refuse(
                    ResultException.of(ResultCode.INTERNAL, fault.getClass().getSimpleName())
                            .withExecution(
                                    served.attempts().isEmpty() && !mayRunElsewhere()
                                            ? Execution.NOT_RUN
                                            : Execution.UNKNOWN));
        }
    }

    /** Runs a step of this request, which ends if the step throws. */
    void orAfterFault(Runnable ending) {
        try {
            ending.run();
        } catch (RuntimeException fault) {
            afterFault(fault);
        }
    }

    /** Ends a request that cannot be sent once more. */
    void giveUp() {
        if (served.isStreamStarted()) {
            client.abort();
            finish(ResultCode.ANSWER_INCOMPLETE, 0, "stream ended early");
        } else if (lastFailure != null) {
            deliver(lastFailure, "backend server failed");
        } else if (retries.mayHaveRun()) {
            refuse(incompleteAnswer());
        } else if (lastRefusal != null) {
            refuse(lastRefusal.withExecution(Execution.NOT_RUN));
        } else {
            refuse(
                    ResultException.of(ResultCode.BACKEND_SERVER_REFUSED, served.lastBackend())
                            .withRetryAfter(pauseOfService()));
        }
    }

    private Duration pauseOfService() {
        return environment
                .view()
                .pauseOf(served.admission().service(), environment.nowNanos())
                .orElse(REFUSAL_RETRY_DELAY);
    }

    private void timeLimitReached() {
        if (served.isDone()) {
            return;
        }
        final BackendAttempt current = served.attempts().current();
        if (current != null) {
            served.reportFailedAttempt(current, true, "time limit reached");
            served.recordSilence(current);
        }
        if (served.isStreamStarted()) {
            client.abort();
            finish(ResultCode.ANSWER_INCOMPLETE, 0, "time limit reached within a stream");
        } else if (lastFailure != null) {
            deliver(lastFailure, "backend server failed");
        } else if (current != null || mayRunElsewhere()) {
            refuse(ResultException.of(ResultCode.BACKEND_SERVER_TIMEOUT, served.lastBackend()));
        } else {
            refuse(
                    ResultException.of(ResultCode.DEADLINE_UNREACHABLE, 0)
                            .withRetryAfter(REFUSAL_RETRY_DELAY));
        }
    }

    /**
     * Ends the request because the gateway ends: refuses it if it did not run, else says that it
     * may have run, or breaks its stream off.
     */
    void gatewayStops() {
        if (!served.isDone()) {
            orAfterFault(this::endForStop);
        }
    }

    private void endForStop() {
        final BackendAttempt current = served.attempts().current();
        final boolean sent = current != null && current.wasSent();
        if (current != null) {
            served.reportFailedAttempt(current, sent, "gateway stopped");
        }
        if (served.isStreamStarted()) {
            client.abort();
            finish(ResultCode.ANSWER_INCOMPLETE, 0, "gateway stopped within a stream");
        } else if (lastFailure != null) {
            deliver(lastFailure, "backend server failed");
        } else if (sent || mayRunElsewhere()) {
            refuse(StopRefusals.mayHaveRun(served.lastBackend()));
        } else {
            refuse(StopRefusals.notRun());
        }
    }

    private boolean mayRunElsewhere() {
        return retries.mayHaveRun() || handOver.wasSent();
    }

    private ResultException incompleteAnswer() {
        return ResultException.of(
                ResultCode.BACKEND_SERVER_FAILED, served.lastBackend(), "no complete answer");
    }

    /** Ends the request with a backend server's complete answer. */
    void deliver(BackendAttempt answer, String reason) {
        served.recordFirstByte();
        client.sendComplete(answer.status(), answer.headers(), answer.body());
        finish(ResultCode.OK, answer.status().code(), reason);
    }

    /** Ends the request with a refusal, unless it has ended. */
    void refuse(ResultException refusal) {
        if (served.isDone()) {
            return;
        }
        client.refuse(refusal);
        retryMillis = refusal.retryAfter().map(Duration::toMillis).orElse(NO_RETRY_TOLD);
        finish(refusal.code(), refusal.code().httpStatus(), refusal.getMessage());
    }

    /** Ends the request and aborts the attempts in flight, if any. */
    void finish(ResultCode code, int status, String reason) {
        served.recordDone();
        if (limitTimer != null) {
            limitTimer.cancel(false);
        }
        succession.endAll(code == ResultCode.OK);
        handOver.abort();
        served.releaseAnswerShares();
        served.admission().abandon();
        if (code != ResultCode.OK && !retries.mayHaveRun()) {
            served.admission().refund();
        }
        body.release();
        report(code, status, reason);
    }

    private void report(ResultCode code, int status, String reason) {
        final RequestAdmission admission = served.admission();
        final long nowNanos = environment.nowNanos();
        final long waitedUntil = served.firstByteNanos() == 0 ? nowNanos : served.firstByteNanos();
        environment
                .observer()
                .ended(
                        new ForwardingSummary(
                                served.request(),
                                admission.routeName(),
                                admission.organisationName(),
                                admission.configurationVersion(),
                                admission.controlAgeMillis(),
                                admission.chargedAmount(),
                                served.adapterWaitMillis(),
                                served.requestsAtBackend(),
                                served.lastBackend(),
                                served.lastSoftwareVersion(),
                                retries.sends(),
                                status,
                                code,
                                reason,
                                retryMillis,
                                millisFromArrival(waitedUntil),
                                millisFromArrival(nowNanos),
                                succession.splitter().eventCount(),
                                pauses.longestMillis()));
    }

    private long millisFromArrival(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos - served.arrivedNanos());
    }
}
