package org.crocushaven.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import org.crocushaven.ingress.IngressRequest;
import org.crocushaven.ingress.RouteKind;
import org.crocushaven.outbound.AnswerMemory;
import org.crocushaven.outbound.AnsweredRequest;
import org.crocushaven.outbound.ConnectionUse;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Serves one request: admits it, sends it, and passes what its backend servers answer to the part
 * that handles it. Used on the event loop only.
 */
final class RequestForwarding {
    private static final int SERVER_ERROR = 500;

    private final ForwardingEnvironment environment;
    private final ForwardedRequest served;
    private final AttemptSuccession succession;
    private final RequestEnd end;
    private final TargetWait targets;
    private final AttemptFailures failures;
    private final StreamForwarding stream;
    private final AttemptSender sender;
    private final HandOver handOver;

    private RequestForwarding(
            ForwardingEnvironment environment,
            IngressRequest request,
            RequestBody body,
            ClientAnswer client) {
        final PauseMeter pauses = new PauseMeter();
        this.environment = environment;
        this.served = new ForwardedRequest(environment, request, body.digest());
        this.succession = new AttemptSuccession(served, this);
        this.end = new RequestEnd(served, body.bytes(), client, succession, pauses);
        this.handOver = new HandOver(served, body.bytes(), client, succession, end);
        this.end.handOverTo(handOver);
        this.targets = new TargetWait(served, end, this);
        this.failures = new AttemptFailures(served, succession, end, targets);
        this.stream = new StreamForwarding(served, client, succession, failures, end, pauses);
        this.sender =
                new AttemptSender(environment, request, body.bytes(), served.admission(), this);
    }

    /** Starts serving a request; takes over the reference to its body. */
    static RequestForwarding start(
            ForwardingEnvironment environment,
            IngressRequest request,
            RequestBody body,
            ClientAnswer client) {
        final RequestForwarding forwarding =
                new RequestForwarding(environment, request, body, client);
        try {
            forwarding.admit();
        } catch (ResultException refusal) {
            forwarding.end.refuse(refusal);
        } catch (RuntimeException fault) {
            forwarding.end.afterFault(fault);
        }
        return forwarding;
    }

    /** Called when the client disconnects; aborts the attempts in flight. */
    void clientDisconnected() {
        if (!served.isDone()) {
            end.finish(ResultCode.CALLER_CANCELLED, 0, "client disconnected");
        }
    }

    /** Called when the gateway ends; ends the request. */
    void gatewayStops() {
        end.gatewayStops();
    }

    /**
     * Called when the client resumes or stops reading; pauses the backend server's answer
     * accordingly.
     */
    void clientWritabilityChanged(boolean writable) {
        stream.clientWritabilityChanged(writable);
        handOver.setReading(writable);
    }

    IngressRequest request() {
        return served.request();
    }

    IngressDialect dialect() {
        return environment.dialect();
    }

    boolean isStream() {
        return served.route().kind() == RouteKind.STREAM;
    }

    /** Returns whether an answer with the given head may go on with what the client has. */
    boolean mayGoOnWith(HttpResponseStatus status, HttpHeaders headers) {
        return served.mayGoOnWith(status, headers);
    }

    long arrivedNanos() {
        return served.arrivedNanos();
    }

    long remainingMillis() {
        return served.remainingMillis();
    }

    long adapterWaitMillis() {
        return served.adapterWaitMillis();
    }

    /** Returns the number of forwarded events. */
    long eventCount() {
        return succession.splitter().eventCount();
    }

    /** Returns the event after which a stream resumes; empty for one that begins. */
    Optional<String> lastEventId() {
        return succession.splitter().lastEventId();
    }

    /** Hands the request over if that is better than any path of this gateway. */
    boolean tryHandOver(String reason) {
        return handOver.tryStart(reason);
    }

    /**
     * Hands the request over in place of a silent attempt, if no path of this gateway is open;
     * returns whether it did.
     */
    boolean tryHandOverSilent(BackendAttempt silent) {
        if (!targets.areAllPathsClosed()
                || !handOver.mayStart()
                || !environment.retryBudget().tryRetry(served.admission().service())) {
            return false;
        }
        served.retries().recordMayHaveRun(true);
        served.reportFailedAttempt(silent, true, "silent, handed over");
        silent.abort();
        succession.end(silent);
        succession.splitter().discardPartialEvent();
        return handOver.tryStart("silent");
    }

    boolean isStale(BackendAttempt from) {
        return served.isStale(from);
    }

    boolean mayTryAnother() {
        return failures.mayTryAnother();
    }

    Optional<Target> stillUsable(Target target) {
        return targets.stillUsable(target);
    }

    /** Called when bytes come from a backend server. */
    void heard(BackendAttempt from) {
        environment.paths().heard(from.target().backend(), environment.nowNanos());
    }

    /** Handles what a backend server says of itself in an answer, also in one that is too late. */
    void noticesReceived(BackendAttempt from, BackendAnswerHead head) {
        environment.recordNotices(request(), from.target().backend(), head, from.sentNanos());
    }

    AnsweredRequest answeredRequest(HttpResponse head) {
        return served.answeredRequest(head);
    }

    /** Reports an answer that is not to this request, though it came in its place. */
    void foreignAnswerReceived(BackendAttempt from, HttpResponse head, ConnectionUse use) {
        final String answered = dialect().decodeAnswer(head).requestId().orElse("-");
        environment
                .observer()
                .foreignAnswer(
                        request(),
                        from.target().backend().backend(),
                        from.number(),
                        new ForeignAnswer(answered, head.status().code(), use));
    }

    AnswerMemory.Share newAnswerShare() {
        return served.answerShare(AnswerMemory.MAXIMUM_ANSWER_BYTES);
    }

    void streamAnswered(BackendAttempt from) {
        succession.streamAnswered(from);
    }

    void streamDataReceived(BackendAttempt from, ByteBuf data) {
        stream.dataReceived(from, data);
    }

    void checkStream(BackendAttempt from) {
        stream.check(from);
    }

    void streamEnded(BackendAttempt from) {
        stream.ended(from);
    }

    /** Handles a complete answer. */
    void completeAnswerReceived(BackendAttempt from) {
        if (isStale(from)) {
            return;
        }
        if (from.status().code() >= SERVER_ERROR) {
            failures.failureAnswered(from);
            return;
        }
        environment
                .health()
                .recordSuccess(from.target().backend().backend(), environment.nowNanos());
        failures.answerEnded(from);
        if (served.isStreamStarted()) {
            handleFailure(from, true, "answer is not a stream");
            return;
        }
        if (from == served.attempts().replacement()) {
            succession.replaceSilent();
        }
        end.deliver(from, "served");
    }

    void requestNotRun(BackendAttempt from) {
        failures.requestNotRun(from);
    }

    void handleFailure(BackendAttempt from, boolean mayHaveRun, String reason) {
        failures.attemptFailed(from, mayHaveRun, reason);
    }

    void connectionEnded(BackendAttempt from) {
        failures.connectionEnded(from);
    }

    Optional<ResultException> refusalNow() {
        return served.guard().refusal();
    }

    void refuseUnsent(BackendAttempt unsent, ResultException refusal) {
        failures.refuseUnsent(unsent, refusal);
    }

    void withdraw(BackendAttempt unsent) {
        failures.withdraw(unsent);
    }

    void sendFaulted(BackendAttempt attempt, RuntimeException fault) {
        failures.sendFaulted(attempt, fault);
    }

    void tryAnother() {
        failures.tryAnother();
    }

    /** Called when an attempt was sent. */
    void attemptSent(BackendAttempt sent, int requestsThere) {
        served.recordRequestsAtBackend(requestsThere);
        succession.attemptSent(sent);
    }

    void waitForAdapter(Target target, long delayMillis, Runnable then) {
        targets.waitForAdapter(target, delayMillis, then);
    }

    /** Sends the request to a backend server. */
    void send(Target target) {
        final BackendAttempt next = nextAttempt(target);
        served.attempts().begin(next);
        sender.send(next);
    }

    /** Sends the request to a second backend server beside the silent one. */
    void sendReplacement(Target target) {
        final BackendAttempt next = nextAttempt(target);
        succession.beginReplacement(next);
        sender.send(next);
    }

    private BackendAttempt nextAttempt(Target target) {
        return new BackendAttempt(this, target, served.recordAttempt(target), eventCount());
    }

    /** Starts the time limit and charges the request. */
    private void admit() {
        served.admission().identify(arrivedNanos());
        served.identifyTraits();
        served.guard().requireAllowed();
        request().lastEventId().ifPresent(succession.splitter()::resumeAfter);
        end.startTimeLimit();
        served.admission().charge().whenComplete((charged, failure) -> admitted(failure));
    }

    private void admitted(Throwable failure) {
        unlessFailed(
                failure,
                () ->
                        served.continuation()
                                .prepare()
                                .whenComplete(
                                        (ready, unknown) -> unlessFailed(unknown, targets::find)));
    }

    private void unlessFailed(Throwable failure, Runnable next) {
        if (served.isDone()) {
            return;
        }
        if (failure instanceof ResultException refusal) {
            end.refuse(refusal);
        } else if (failure != null) {
            end.afterFault(failure);
        } else {
            orEnd(next);
        }
    }

    /** Runs a step of this request, which ends if the step throws. */
    void orEnd(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException fault) {
            end.afterFault(fault);
        }
    }
}
