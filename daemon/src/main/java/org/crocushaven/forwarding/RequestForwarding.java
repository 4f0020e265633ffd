package org.crocushaven.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.crocushaven.ingress.IngressRequest;
import org.crocushaven.ingress.IngressRoute;
import org.crocushaven.ingress.RouteKind;
import org.crocushaven.result.Execution;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Serves one request: admits it, sends it, retries where allowed, and forwards the answer.
 *
 * <p>A refusal states that the request did not run only if each send to a backend server failed
 * before the request could reach it, or was answered with the statement that the request did not
 * run. Used on the event loop only.
 */
final class RequestForwarding {
    private static final int SERVER_ERROR = 500;

    /** Duration of an additional wait for an adapter that loads more slowly than expected. */
    private static final long ADAPTER_WAIT_MILLIS = 50;

    private static final Duration REFUSAL_RETRY_DELAY = Duration.ofMillis(300);

    /**
     * Maximum time for which two backend servers may work on a stream, counted from the answer of
     * the second one; then the silent one is abandoned.
     */
    private static final long MAXIMUM_OVERLAP_MILLIS = 300;

    private final ForwardingEnvironment environment;
    private final IngressRequest request;
    private final ByteBuf body;
    private final ClientAnswer client;
    private final long arrivedNanos;
    private EventSplitter splitter = new EventSplitter();
    private EventSplitter replacementSplitter;
    private final PauseMeter pauses = new PauseMeter();
    private final InactivityTimer silence;
    private final RequestAdmission admission;
    private final StreamContinuation continuation;
    private final RetryState retries = new RetryState();
    private final AttemptsInFlight attempts;
    private final ReplacementSearch replacements;
    private final AttemptSender sender;
    private ScheduledFuture<?> limitTimer;
    private String lastBackend = "-";
    private String lastSoftwareVersion = "-";
    private long adapterWaitMillis;
    private int requestsAtBackend;
    private boolean streamStarted;
    private boolean done;
    private boolean readingPaused;

    private long firstByteNanos;
    private ResultException lastRefusal;
    private BackendAttempt lastFailure;

    private RequestForwarding(
            ForwardingEnvironment environment,
            IngressRequest request,
            ByteBuf body,
            ClientAnswer client) {
        this.environment = environment;
        this.request = request;
        this.body = body;
        this.client = client;
        this.arrivedNanos = environment.nowNanos();
        this.admission = new RequestAdmission(environment, request);
        this.continuation = new StreamContinuation(environment, request, admission);
        this.attempts = new AttemptsInFlight(environment.view());
        this.replacements =
                new ReplacementSearch(environment, request, admission, continuation, this);
        this.sender = new AttemptSender(environment, request, body, admission, this);
        this.silence =
                new InactivityTimer(environment.loop(), environment.clock(), this::backendSilent);
    }

    /** Starts serving a request; takes over the reference to its body. */
    static RequestForwarding start(
            ForwardingEnvironment environment,
            IngressRequest request,
            ByteBuf body,
            ClientAnswer client) {
        final RequestForwarding forwarding =
                new RequestForwarding(environment, request, body, client);
        try {
            forwarding.admit();
        } catch (ResultException refusal) {
            forwarding.refuse(refusal);
        } catch (RuntimeException fault) {
            forwarding.endAfterFault(fault);
        }
        return forwarding;
    }

    IngressRequest request() {
        return request;
    }

    IngressDialect dialect() {
        return environment.dialect();
    }

    boolean isStream() {
        return route().kind() == RouteKind.STREAM;
    }

    long arrivedNanos() {
        return arrivedNanos;
    }

    long adapterWaitMillis() {
        return adapterWaitMillis;
    }

    /** Returns the number of forwarded events. */
    long eventCount() {
        return splitter.eventCount();
    }

    /** Returns the event after which a stream resumes; empty for one that begins. */
    Optional<String> lastEventId() {
        return splitter.lastEventId();
    }

    /** Called when the client disconnects; aborts the attempts in flight. */
    void clientDisconnected() {
        if (!done) {
            finish(ResultCode.CALLER_CANCELLED, 0, "client disconnected");
        }
    }

    /**
     * Called when the client resumes or stops reading; pauses the backend server's answer
     * accordingly.
     */
    void clientWritabilityChanged(boolean writable) {
        if (!done && !attempts.isEmpty() && readingPaused == writable) {
            readingPaused = !writable;
            attempts.current().setAutoRead(writable);
        }
    }

    /** Handles what a backend server says of itself in an answer, also in one that is too late. */
    void noticesReceived(BackendAttempt from, BackendAnswerHead head) {
        environment.recordNotices(request, from.target().backend(), head);
    }

    /** Handles bytes of an event stream. */
    void streamDataReceived(BackendAttempt from, ByteBuf data) {
        if (isStale(from)) {
            return;
        }
        final boolean fromReplacement = from == attempts.replacement();
        final ByteBuf events = (fromReplacement ? replacementSplitter : splitter).add(data);
        if (events == null) {
            return;
        }
        if (fromReplacement) {
            replaceSilent();
        } else {
            abandonReplacement("silent backend server went on first");
        }
        replacements.silenceEnded();
        pauses.recordEvent(environment.nowNanos());
        silence.recordProgress(SilenceLimits.withinStreamMillis(route(), remainingMillis()));
        if (!streamStarted) {
            streamStarted = true;
            firstByteNanos = environment.nowNanos();
            continuation.firstEventReceived(from.target().backend());
            environment.health().recordSuccess(from.target().backend().backend(), firstByteNanos);
            environment.promptReaders().recordRead(request, from.target().backend().backend());
            client.startStream(from.status(), from.headers());
        }
        client.sendEvents(events);
        if (!client.isWritable()) {
            clientWritabilityChanged(false);
        }
    }

    private EventSplitter splitterOf(BackendAttempt attempt) {
        return attempt == attempts.replacement() ? replacementSplitter : splitter;
    }

    /** Fails an attempt when its stream has an event that is too long or missing. */
    void checkStream(BackendAttempt from) {
        if (!isStale(from) && splitterOf(from).isBroken()) {
            from.abort();
            handleFailure(from, true, "event missing or too long");
        }
    }

    /** Handles the end of a stream. */
    void streamEnded(BackendAttempt from) {
        if (isStale(from)) {
            return;
        }
        if (splitterOf(from).hasPartialEvent() || splitterOf(from).isBroken()) {
            handleFailure(from, true, "stream ended within an event");
            return;
        }
        if (from == attempts.replacement()) {
            handleFailure(from, true, "stream ended without an event");
            return;
        }
        if (!streamStarted) {
            streamStarted = true;
            client.startStream(from.status(), from.headers());
        }
        client.endStream();
        finish(ResultCode.OK, from.status().code(), "served");
    }

    /** Handles a complete answer. */
    void completeAnswerReceived(BackendAttempt from) {
        if (isStale(from)) {
            return;
        }
        final long nowNanos = environment.nowNanos();
        final String backend = from.target().backend().backend();
        if (from.status().code() >= SERVER_ERROR) {
            retries.recordMayHaveRun(true);
            environment.health().recordFailure(backend, 1, nowNanos);
            reportFailedAttempt(from, true, "status " + from.status().code());
            endAttempt(from);
            lastFailure = streamStarted ? null : from;
            retries.exclude(backend);
            if (attempts.isEmpty()) {
                retryOrGiveUp();
            }
            return;
        }
        environment.health().recordSuccess(backend, nowNanos);
        if (streamStarted) {
            handleFailure(from, true, "answer is not a stream");
            return;
        }
        if (from == attempts.replacement()) {
            replaceSilent();
        }
        deliver(from, "served");
    }

    /** Handles an answer which states that the backend server did not run the request. */
    void requestNotRun(BackendAttempt from) {
        if (isStale(from)) {
            return;
        }
        final String backend = from.target().backend().backend();
        reportFailedAttempt(from, false, "not run, status " + from.status().code());
        endAttempt(from);
        final int status = from.status().code();
        final boolean takesRequests = stillUsable(from.target()).isPresent();
        if (takesRequests
                && attempts.isEmpty()
                && remainingMillis() > 0
                && retries.tryWaitForAdapter(from.target(), status)
                && environment.retryBudget().tryRetry(admission.service())) {
            sendLater(from.target(), ADAPTER_WAIT_MILLIS);
            return;
        }
        if (RetryState.isMisdirected(status) && from.target().key() != null) {
            environment.view().removeHolder(backend, from.target().key());
        } else if (takesRequests) {
            environment.health().recordFailure(backend, 0.5, environment.nowNanos());
        }
        retries.exclude(backend);
        if (attempts.isEmpty()) {
            retryOrGiveUp();
        }
    }

    /** Reports an answer that carries the identifier of another request. */
    void foreignAnswerReceived(BackendAttempt from) {
        environment
                .observer()
                .foreignAnswer(request, from.target().backend().backend(), from.number());
    }

    /** Handles an attempt that will not produce a complete answer. */
    void handleFailure(BackendAttempt from, boolean mayHaveRun, String reason) {
        if (isStale(from)) {
            return;
        }
        final String backend = from.target().backend().backend();
        final boolean wasReplacement = from == attempts.replacement();
        retries.recordMayHaveRun(mayHaveRun);
        environment.health().recordFailure(backend, mayHaveRun ? 1 : 2, environment.nowNanos());
        reportFailedAttempt(from, mayHaveRun, reason);
        endAttempt(from);
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
        endAttempt(unsent);
        recordNeverReached(unsent.target().backend().backend(), wasReplacement);
        if (attempts.isEmpty()) {
            tryAnother();
        }
    }

    private void recordNeverReached(String backend, boolean wasReplacement) {
        retries.recordNeverReached(backend);
        if (wasReplacement) {
            environment.retryBudget().returnRetry(admission.service());
        }
    }

    /** Called when an attempt was sent. */
    void attemptSent(BackendAttempt sent, int requestsThere) {
        requestsAtBackend = requestsThere;
        if (sent == attempts.current()) {
            startSilenceTimer();
        }
    }

    /**
     * Called when a backend server begins to answer with a stream, which means that it works on the
     * request; limits the time for which the silent one works on it too.
     */
    void streamAnswered(BackendAttempt from) {
        if (!isStale(from) && from == attempts.replacement()) {
            environment
                    .loop()
                    .schedule(
                            () -> {
                                if (!isStale(from) && from == attempts.replacement()) {
                                    replaceSilent();
                                }
                            },
                            MAXIMUM_OVERLAP_MILLIS,
                            TimeUnit.MILLISECONDS);
        }
    }

    boolean isStale(BackendAttempt from) {
        return done || !attempts.contains(from);
    }

    /** Returns the time, in milliseconds, until the deadline or the route's time limit. */
    long remainingMillis() {
        final long limit =
                Math.min(request.deadlineMillis().orElse(Long.MAX_VALUE), route().timeoutMillis());
        return limit - TimeUnit.NANOSECONDS.toMillis(environment.nowNanos() - arrivedNanos);
    }

    /** Starts the time limit and charges the request. */
    private void admit() {
        admission.identify(arrivedNanos);
        request.lastEventId().ifPresent(splitter::resumeAfter);
        limitTimer =
                environment
                        .loop()
                        .schedule(this::timeLimitReached, remainingMillis(), TimeUnit.MILLISECONDS);
        admission.charge().whenComplete((charged, failure) -> admitted(failure));
    }

    private void admitted(Throwable failure) {
        if (done) {
            return;
        }
        if (failure instanceof ResultException refusal) {
            refuse(refusal);
        } else if (failure != null) {
            endAfterFault(failure);
        } else {
            orEnd(() -> continuation.prepare().whenComplete((ready, unknown) -> prepared(unknown)));
        }
    }

    private void prepared(Throwable failure) {
        if (done) {
            return;
        }
        if (failure instanceof ResultException refusal) {
            refuse(refusal);
        } else if (failure != null) {
            endAfterFault(failure);
        } else {
            orEnd(this::findTarget);
        }
    }

    /** Runs a step of this request, which ends if the step throws. */
    private void orEnd(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException fault) {
            endAfterFault(fault);
        }
    }

    /** Handles an unexpected exception while an attempt was sent. */
    void sendFaulted(BackendAttempt attempt, RuntimeException fault) {
        if (!done && attempt == attempts.replacement()) {
            environment.observer().faulted(fault, true);
            attempt.abort();
            handleFailure(attempt, attempt.wasSent(), "unexpected exception");
        } else {
            endAfterFault(fault);
        }
    }

    /** Ends the request after an unexpected exception, rather than hold it to its time limit. */
    private void endAfterFault(Throwable fault) {
        environment.observer().faulted(fault, !done);
        if (done) {
            return;
        }
        if (streamStarted) {
            client.abort();
            finish(ResultCode.ANSWER_INCOMPLETE, 0, "unexpected exception");
        } else {
            refuse(
                    ResultException.of(ResultCode.INTERNAL, fault.getClass().getSimpleName())
                            .withExecution(
                                    attempts.isEmpty() && !retries.mayHaveRun()
                                            ? Execution.NOT_RUN
                                            : Execution.UNKNOWN));
        }
    }

    private IngressRoute route() {
        return admission.route();
    }

    private void findTarget() {
        new TargetFinder(environment)
                .find(admission.service(), request, retries.excluded(), continuation)
                .whenComplete(
                        (target, failure) -> {
                            if (!done) {
                                orEnd(() -> targetFound(target, failure));
                            }
                        });
    }

    private void targetFound(Target target, Throwable failure) {
        if (failure instanceof ResultException refusal) {
            lastRefusal = refusal;
            if (retries.sends() > 0) {
                environment.observer().retryUnavailable(request, "target");
            }
            giveUp();
        } else if (failure != null) {
            endAfterFault(failure);
        } else if (target.delayMillis() > 0) {
            sendLater(target, target.delayMillis());
        } else {
            send(target);
        }
    }

    private void sendLater(Target target, long delayMillis) {
        waitForAdapter(
                target,
                delayMillis,
                () -> {
                    if (!done) {
                        orEnd(() -> sendAfterWait(target));
                    }
                });
    }

    /** Runs an action after a wait for an adapter, which counts as a request there meanwhile. */
    void waitForAdapter(Target target, long delayMillis, Runnable then) {
        final String backend = target.backend().backend();
        adapterWaitMillis += delayMillis;
        environment.view().requestStarted(backend, target.key());
        environment
                .loop()
                .schedule(
                        () -> {
                            environment.view().requestEnded(backend, target.key());
                            then.run();
                        },
                        delayMillis,
                        TimeUnit.MILLISECONDS);
    }

    /** Sends a request to the target that it waited for, or looks for another if that one left. */
    private void sendAfterWait(Target target) {
        final Optional<Target> usable = stillUsable(target);
        if (usable.isPresent()) {
            send(usable.get());
        } else {
            retries.exclude(target.backend().backend());
            tryAnother();
        }
    }

    /** Returns the target with what is known of its backend server now, if that may be used. */
    Optional<Target> stillUsable(Target target) {
        return environment
                .view()
                .find(target.backend().backend())
                .filter(
                        record ->
                                environment.view().acceptsRequests(record, environment.nowNanos()))
                .filter(continuation::allows)
                .map(target::with);
    }

    private void send(Target target) {
        final BackendAttempt next = nextAttempt(target);
        attempts.begin(next);
        sender.send(next);
    }

    private BackendAttempt nextAttempt(Target target) {
        lastBackend = target.backend().backend();
        lastSoftwareVersion = target.backend().softwareVersion();
        final int number = retries.recordSend(lastBackend);
        if (number == 1) {
            environment.retryBudget().recordSend(admission.service());
        }
        return new BackendAttempt(this, target, number);
    }

    private void startSilenceTimer() {
        if (route().isRetryable()) {
            silence.start(
                    streamStarted
                            ? SilenceLimits.withinStreamMillis(route(), remainingMillis())
                            : SilenceLimits.beforeAnswerMillis(route()));
        }
    }

    /** Looks for a replacement of a silent backend server, whose answer is still awaited. */
    private void backendSilent(long silentMillis) {
        if (done || attempts.isEmpty() || attempts.hasReplacement() || readingPaused) {
            return;
        }
        final BackendAttempt silent = attempts.current();
        if (!replacements.lacksSomething()) {
            environment
                    .health()
                    .recordFailure(silent.target().backend().backend(), 1, environment.nowNanos());
        }
        if (remainingMillis() <= 0) {
            replacements.reportLack("time");
        } else if (!mayTryAnother()) {
            replacements.reportLack("attempts");
        } else {
            replacements.start(silent, retries.excluded());
        }
    }

    /** Sends the request to a second backend server beside the silent one. */
    void sendReplacement(Target target) {
        final BackendAttempt next = nextAttempt(target);
        replacementSplitter = splitter.continued();
        attempts.beginReplacement(next);
        sender.send(next);
    }

    /** Abandons the silent backend server for the replacement, whose answer is forwarded now. */
    private void replaceSilent() {
        final BackendAttempt silent = attempts.current();
        retries.recordMayHaveRun(true);
        retries.exclude(silent.target().backend().backend());
        reportFailedAttempt(silent, true, "silent, replaced");
        silent.abort();
        endAttempt(silent);
    }

    private void abandonReplacement(String reason) {
        if (attempts.hasReplacement()) {
            final BackendAttempt unneeded = attempts.replacement();
            retries.recordMayHaveRun(unneeded.wasSent());
            reportFailedAttempt(unneeded, unneeded.wasSent(), reason);
            unneeded.abort();
            endAttempt(unneeded);
        }
    }

    private boolean mayTryAnother() {
        return retries.mayTryAnother(route(), streamStarted, splitter.lastEventId().isPresent());
    }

    /**
     * Tries another backend server, when the last one was not reached or the retry budget permits a
     * retry.
     */
    private void tryAnother() {
        if (remainingMillis() <= 0) {
            giveUpRetry("time");
        } else if (!mayTryAnother()) {
            giveUpRetry("attempts");
        } else {
            splitter.discardPartialEvent();
            orEnd(this::findTarget);
        }
    }

    private void giveUpRetry(String missing) {
        environment.observer().retryUnavailable(request, missing);
        giveUp();
    }

    private void retryOrGiveUp() {
        if (!mayTryAnother()) {
            giveUpRetry("attempts");
        } else if (!environment.retryBudget().tryRetry(admission.service())) {
            giveUpRetry("budget");
        } else {
            tryAnother();
        }
    }

    private void giveUp() {
        if (streamStarted) {
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
                    ResultException.of(ResultCode.BACKEND_SERVER_REFUSED, lastBackend())
                            .withRetryAfter(
                                    environment
                                            .view()
                                            .pauseOf(admission.service(), environment.nowNanos())
                                            .orElse(REFUSAL_RETRY_DELAY)));
        }
    }

    private void timeLimitReached() {
        if (done) {
            return;
        }
        final BackendAttempt current = attempts.current();
        if (current != null) {
            reportFailedAttempt(current, true, "time limit reached");
        }
        if (streamStarted) {
            client.abort();
            finish(ResultCode.ANSWER_INCOMPLETE, 0, "time limit reached within a stream");
        } else if (lastFailure != null) {
            deliver(lastFailure, "backend server failed");
        } else if (current != null || retries.mayHaveRun()) {
            refuse(ResultException.of(ResultCode.BACKEND_SERVER_TIMEOUT, lastBackend()));
        } else {
            refuse(
                    ResultException.of(ResultCode.DEADLINE_UNREACHABLE, 0)
                            .withRetryAfter(REFUSAL_RETRY_DELAY));
        }
    }

    private ResultException incompleteAnswer() {
        return ResultException.of(
                ResultCode.BACKEND_SERVER_FAILED, lastBackend(), "no complete answer");
    }

    private String lastBackend() {
        return lastBackend;
    }

    private void deliver(BackendAttempt answer, String reason) {
        firstByteNanos = environment.nowNanos();
        client.sendComplete(answer.status(), answer.headers(), answer.body());
        finish(ResultCode.OK, answer.status().code(), reason);
    }

    private void refuse(ResultException refusal) {
        if (done) {
            return;
        }
        client.refuse(refusal);
        finish(refusal.code(), refusal.code().httpStatus(), refusal.getMessage());
    }

    /** Ends the request and aborts the attempts in flight, if any. */
    private void finish(ResultCode code, int status, String reason) {
        done = true;
        if (limitTimer != null) {
            limitTimer.cancel(false);
        }
        silence.stop();
        final String backend = lastBackend();
        abandonReplacement("request ended");
        if (!attempts.isEmpty()) {
            final BackendAttempt last = attempts.current();
            retries.recordMayHaveRun(last.wasSent());
            endAttempt(last);
            if (code != ResultCode.OK) {
                last.abort();
            }
        }
        admission.abandon();
        if (code != ResultCode.OK && !retries.mayHaveRun()) {
            admission.refund();
        }
        body.release();
        report(code, status, reason, backend);
    }

    private void report(ResultCode code, int status, String reason, String backend) {
        final long nowNanos = environment.nowNanos();
        final long waitedUntil = firstByteNanos == 0 ? nowNanos : firstByteNanos;
        environment
                .observer()
                .ended(
                        new ForwardingSummary(
                                request,
                                admission.routeName(),
                                admission.organisationName(),
                                admission.configurationVersion(),
                                admission.controlAgeMillis(),
                                admission.chargedAmount(),
                                adapterWaitMillis,
                                requestsAtBackend,
                                backend,
                                lastSoftwareVersion,
                                retries.sends(),
                                status,
                                code,
                                reason,
                                TimeUnit.NANOSECONDS.toMillis(waitedUntil - arrivedNanos),
                                TimeUnit.NANOSECONDS.toMillis(nowNanos - arrivedNanos),
                                splitter.eventCount(),
                                pauses.longestMillis()));
    }

    /** Ends an attempt; a replacement goes on in its place. */
    private void endAttempt(BackendAttempt ended) {
        final boolean wasCurrent = ended == attempts.current();
        attempts.end(ended);
        if (!wasCurrent) {
            return;
        }
        silence.stop();
        readingPaused = false;
        replacements.silenceEnded();
        if (!attempts.isEmpty()) {
            splitter = replacementSplitter;
            startSilenceTimer();
        }
    }

    private void reportFailedAttempt(BackendAttempt failed, boolean mayHaveRun, String reason) {
        environment
                .observer()
                .attemptFailed(
                        request, failed.target().backend(), failed.number(), mayHaveRun, reason);
    }
}
