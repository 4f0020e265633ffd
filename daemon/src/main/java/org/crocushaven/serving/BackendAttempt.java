package org.crocushaven.serving;

import java.io.ByteArrayOutputStream;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.crocushaven.backend.BackendCall;
import org.crocushaven.backend.BackendListener;
import org.crocushaven.backend.BackendRequest;
import org.crocushaven.backend.BackendServer;
import org.crocushaven.caller.CallerRequest;
import org.crocushaven.caller.CallerResponse;
import org.crocushaven.placement.PermitOutcome;
import org.crocushaven.result.Execution;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Sends a request to one backend server and passes the answer on to the caller.
 *
 * <p>The answer of a non-idempotent call is buffered and reaches the caller only after it has been
 * stored (or storing has failed), so that a resend after a lost answer finds it.
 */
final class BackendAttempt implements BackendListener {
    private static final String ORGANISATION = "crocushaven-organisation";
    private static final String IDEMPOTENCY_KEY = "idempotency-key";

    private final RequestExecution execution;
    private final BackendServer server;
    private final boolean hasPermit;
    private final ByteArrayOutputStream bufferedBody = new ByteArrayOutputStream();
    private volatile BackendCall call;
    private final AtomicReference<Sending> sending = new AtomicReference<>(Sending.NOT_STARTED);
    private boolean answerBegun;
    private int status;
    private Map<String, List<String>> headers = Map.of();

    BackendAttempt(RequestExecution execution, BackendServer server, boolean hasPermit) {
        this.execution = execution;
        this.server = server;
        this.hasPermit = hasPermit;
    }

    /** Sends the request. */
    void send() {
        final CallerRequest request = execution.request();
        final BackendRequest outgoing =
                new BackendRequest(
                        request.requestId(),
                        request.method(),
                        request.path(),
                        outgoingHeaders(),
                        request.body(),
                        execution.target().version(),
                        Math.max(1, TimeUnit.NANOSECONDS.toMillis(execution.remainingNanos())),
                        request.urgency());
        call = execution.environment().backends().send(server, outgoing, this);
        if (sending.get() == Sending.CANCELLED) {
            call.cancel();
        }
        execution
                .response()
                .onWritable(
                        () -> {
                            final BackendCall running = call;
                            if (running != null) {
                                running.setReading(true);
                            }
                        });
    }

    /** Returns whether a byte of the request may have been sent. */
    boolean isSent() {
        return sending.get() == Sending.STARTED;
    }

    /** Cancels the attempt if nothing was sent; returns false when bytes may have been sent. */
    boolean cancelIfUnsent() {
        final boolean unsent =
                sending.compareAndSet(Sending.NOT_STARTED, Sending.CANCELLED)
                        || sending.get() == Sending.CANCELLED;
        if (unsent) {
            stop(PermitOutcome.NOT_SENT);
        }
        return unsent;
    }

    /** Cancels the attempt although bytes may have been sent. */
    void cancelAfterSending() {
        stop(PermitOutcome.MAY_STILL_RUN);
    }

    /** Checks the key and the session again; if a check fails, the request is not sent. */
    @Override
    public void onSending() {
        execution.checkBeforeSending(hasPermit);
        execution.progress().recordSending();
        if (!sending.compareAndSet(Sending.NOT_STARTED, Sending.STARTED)) {
            throw ResultException.of(ResultCode.CALLER_CANCELLED).withExecution(Execution.NOT_RUN);
        }
    }

    @Override
    public void onHead(int answerStatus, Map<String, List<String>> answerHeaders) {
        execution.progress().recordFirstByte();
        status = answerStatus;
        headers = AnswerHeaders.of(answerHeaders, execution, server.name());
        if (!isAnswerBuffered() && !execution.isFinished()) {
            answerBegun = true;
            execution.response().begin(status, headers);
        }
    }

    @Override
    public void onBytes(byte[] bytes) {
        if (isAnswerBuffered()) {
            bufferedBody.writeBytes(bytes);
            return;
        }
        final CallerResponse response = execution.response();
        if (execution.isFinished()) {
            return;
        }
        response.write(bytes);
        final BackendCall running = call;
        if (running != null && !response.isWritable()) {
            running.setReading(false);
            if (response.isWritable()) {
                running.setReading(true);
            }
        }
    }

    @Override
    public void onEnd(long usedTokens) {
        execution.orEnd(() -> answerEnded(usedTokens));
    }

    private void answerEnded(long usedTokens) {
        execution.environment().fleet().succeeded(server.name());
        returnPermit(PermitOutcome.COMPLETED);
        if (!isAnswerBuffered()) {
            if (!execution.isFinished()) {
                execution.response().end();
            }
            execution.answered(usedTokens);
            return;
        }
        final StoredAnswer answer = new StoredAnswer(status, headers, bufferedBody.toByteArray());
        execution
                .claim()
                .complete(answer)
                .whenComplete(
                        (done, failure) ->
                                execution.orEnd(() -> deliverBufferedAnswer(answer, usedTokens)));
    }

    @Override
    public void onFailure(ResultException failure) {
        execution.orEnd(() -> attemptEnded(failure));
    }

    private void attemptEnded(ResultException failure) {
        returnPermit(permitOutcome(failure));
        if (failure.code() == ResultCode.BACKEND_SERVER_FAILED
                || failure.code() == ResultCode.BACKEND_SERVER_TIMEOUT
                || failure.code() == ResultCode.WRONG_ADAPTER_ANSWERED) {
            final ServingEnvironment environment = execution.environment();
            environment.fleet().failed(server.name(), environment.clock().nanoTime());
        }
        if (answerBegun) {
            execution.answerInterrupted(failure);
        } else {
            execution.attemptFailed(failure);
        }
    }

    private void deliverBufferedAnswer(StoredAnswer answer, long usedTokens) {
        if (!execution.isFinished() && !execution.isCallerGone()) {
            final CallerResponse response = execution.response();
            response.begin(answer.status(), answer.headers());
            response.write(answer.body());
            response.end();
        }
        execution.answered(usedTokens);
    }

    private boolean isAnswerBuffered() {
        return execution.claim() != null;
    }

    private Map<String, List<String>> outgoingHeaders() {
        final Map<String, List<String>> outgoing = new HashMap<>(execution.request().headers());
        if (!execution.target().isEngine()) {
            outgoing.put(ORGANISATION, List.of(execution.organisationName()));
            if (execution.claim() != null) {
                outgoing.put(IDEMPOTENCY_KEY, List.of(execution.claim().idempotencyKey()));
            }
        }
        return outgoing;
    }

    private PermitOutcome permitOutcome(ResultException failure) {
        if (!isSent()) {
            return PermitOutcome.NOT_SENT;
        }
        return failure.execution() == Execution.UNKNOWN
                ? PermitOutcome.MAY_STILL_RUN
                : PermitOutcome.FAILED;
    }

    private void stop(PermitOutcome outcome) {
        final BackendCall running = call;
        if (running != null) {
            running.cancel();
        }
        returnPermit(outcome);
    }

    private void returnPermit(PermitOutcome outcome) {
        if (hasPermit) {
            execution.environment().permits().returnPermit(execution.permitId(), outcome);
        }
    }

    /** Sending state. Whichever of sending and cancelling comes first excludes the other. */
    private enum Sending {
        NOT_STARTED,
        STARTED,
        CANCELLED
    }
}
