package org.crocushaven.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.crocushaven.fleet.BackendRecord;
import org.crocushaven.ingress.IngressRequest;
import org.crocushaven.ingress.IngressRoute;
import org.crocushaven.ingress.RouteKind;
import org.crocushaven.outbound.BackendChannel;
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
     * Silence limit before the first event, as a multiple of the route's latency objective; a
     * backend server that is silent for longer is abandoned for another one.
     */
    private static final double SILENCE_LIMIT_PER_OBJECTIVE = 1.5;

    /**
     * Silence limit within a stream, as a multiple of the route's maximum pause; a stream that is
     * silent for longer is resumed at another backend server.
     */
    private static final double SILENCE_LIMIT_PER_PAUSE = 3;

    private final ForwardingEnvironment environment;
    private final IngressRequest request;
    private final ByteBuf body;
    private final ClientAnswer client;
    private final long arrivedNanos;
    private final EventSplitter splitter = new EventSplitter();
    private final PauseMeter pauses = new PauseMeter();
    private final InactivityTimer silence;
    private final RequestAdmission admission;
    private final RetryState retries = new RetryState();
    private ScheduledFuture<?> limitTimer;
    private BackendAttempt attempt;
    private String lastBackend = "-";
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

    /** Called when the client disconnects; aborts the attempt in flight. */
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
        if (!done && attempt != null && readingPaused == writable) {
            readingPaused = !writable;
            attempt.setAutoRead(writable);
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
        final ByteBuf events = splitter.add(data);
        if (events == null) {
            return;
        }
        pauses.recordEvent(environment.nowNanos());
        silence.recordProgress((long) (route().pauseMillis() * SILENCE_LIMIT_PER_PAUSE));
        if (!streamStarted) {
            streamStarted = true;
            firstByteNanos = environment.nowNanos();
            environment.health().recordSuccess(from.target().backend().backend(), firstByteNanos);
            environment.promptReaders().recordRead(request, from.target().backend().backend());
            client.startStream(from.status(), from.headers());
        }
        client.sendEvents(events);
        if (!client.isWritable()) {
            clientWritabilityChanged(false);
        }
    }

    /** Fails the current attempt when its stream has an event that is too long or missing. */
    void checkStream() {
        if (splitter.isBroken() && !done) {
            final BackendAttempt failed = attempt;
            failed.abort();
            handleFailure(failed, true, "event missing or too long");
        }
    }

    /** Handles the end of a stream. */
    void streamEnded(BackendAttempt from) {
        if (isStale(from)) {
            return;
        }
        if (splitter.hasPartialEvent() || splitter.isBroken()) {
            handleFailure(from, true, "stream ended within an event");
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
            retryOrGiveUp(from);
            return;
        }
        environment.health().recordSuccess(backend, nowNanos);
        if (streamStarted) {
            handleFailure(from, true, "answer is not a stream");
            return;
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
        final boolean takesRequests = acceptsRequests(from.target());
        if (takesRequests
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
        retryOrGiveUp(from);
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
        retries.recordMayHaveRun(mayHaveRun);
        environment
                .health()
                .recordFailure(
                        from.target().backend().backend(),
                        mayHaveRun ? 1 : 2,
                        environment.nowNanos());
        reportFailedAttempt(from, mayHaveRun, reason);
        endAttempt(from);
        if (mayHaveRun) {
            retryOrGiveUp(from);
        } else {
            retries.recordNeverReached(from.target().backend().backend());
            tryAnother();
        }
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
        } else {
            findTarget();
        }
    }

    private IngressRoute route() {
        return admission.route();
    }

    private void findTarget() {
        new TargetFinder(environment)
                .find(admission.service(), request, retries.excluded())
                .whenComplete(
                        (target, failure) -> {
                            if (done) {
                                return;
                            }
                            if (failure instanceof ResultException refusal) {
                                lastRefusal = refusal;
                                giveUp();
                            } else if (target.delayMillis() > 0) {
                                sendLater(target, target.delayMillis());
                            } else {
                                send(target);
                            }
                        });
    }

    private void sendLater(Target target, long delayMillis) {
        adapterWaitMillis += delayMillis;
        environment.view().requestStarted(target.backend().backend(), target.key());
        environment
                .loop()
                .schedule(
                        () -> {
                            environment
                                    .view()
                                    .requestEnded(target.backend().backend(), target.key());
                            if (!done) {
                                sendAfterWait(target);
                            }
                        },
                        delayMillis,
                        TimeUnit.MILLISECONDS);
    }

    /** Sends a request to the target that it waited for, or looks for another if that one left. */
    private void sendAfterWait(Target target) {
        if (acceptsRequests(target)) {
            send(target);
        } else {
            retries.exclude(target.backend().backend());
            tryAnother();
        }
    }

    private boolean acceptsRequests(Target target) {
        return environment
                .view()
                .find(target.backend().backend())
                .filter(
                        record ->
                                environment.view().acceptsRequests(record, environment.nowNanos()))
                .isPresent();
    }

    private void send(Target target) {
        final BackendRecord backend = target.backend();
        lastBackend = backend.backend();
        final int number = retries.recordSend(lastBackend);
        final BackendAttempt next = new BackendAttempt(this, target, number);
        attempt = next;
        environment.view().requestStarted(backend.backend(), target.key());
        if (number == 1) {
            environment.retryBudget().recordSend(admission.service());
        }
        environment
                .pool()
                .acquire(
                        new InetSocketAddress(backend.host(), backend.port()),
                        !route().isRetryable())
                .whenComplete(
                        (channel, failure) -> {
                            if (failure != null) {
                                handleFailure(next, false, "no connection");
                            } else if (isStale(next)) {
                                channel.close();
                            } else {
                                sendOn(channel, next);
                            }
                        });
    }

    private void sendOn(BackendChannel channel, BackendAttempt next) {
        final long remainingMillis = remainingMillis();
        if (remainingMillis <= 0) {
            channel.close();
            return;
        }
        if (!environment
                .view()
                .notices()
                .allowRequests(next.target().backend(), environment.nowNanos())) {
            channel.close();
            withdraw(next);
            return;
        }
        next.opened(channel);
        final String backend = next.target().backend().backend();
        requestsAtBackend = environment.view().requestsAt(backend);
        environment.observer().sent(request, backend, next.number(), requestsAtBackend);
        reportIfLeaving(backend);
        request.usage()
                .ifPresent(
                        usage ->
                                environment
                                        .view()
                                        .recordPrompt(
                                                backend,
                                                usage.promptTokens(),
                                                environment.nowNanos()));
        channel.send(
                new BackendRequestFactory(environment)
                        .create(
                                request,
                                body,
                                route(),
                                admission.organisation(),
                                next.target(),
                                remainingMillis,
                                splitter.lastEventId()),
                next);
        if (route().isRetryable()) {
            silence.start(silenceLimitMillis());
        }
    }

    /** Looks for another backend server for a request that was not written to the chosen one. */
    private void withdraw(BackendAttempt unsent) {
        endAttempt(unsent);
        retries.recordNeverReached(unsent.target().backend().backend());
        tryAnother();
    }

    /** Reports a send to a backend server that does not accept requests any more. */
    private void reportIfLeaving(String backend) {
        final Optional<BackendRecord> known = environment.view().find(backend);
        if (known.filter(BackendRecord::acceptsRequests).isEmpty()) {
            environment
                    .observer()
                    .sentToLeaving(
                            request,
                            backend,
                            known.map(record -> record.state().toString()).orElse("unknown"),
                            TimeUnit.NANOSECONDS.toMillis(environment.nowNanos() - arrivedNanos),
                            adapterWaitMillis);
        }
    }

    /** Abandons a silent backend server if another one may serve the request. */
    private void backendSilent(long silentMillis) {
        final BackendAttempt watched = attempt;
        if (done || watched == null || readingPaused) {
            return;
        }
        if (mayTryAnother() && remainingMillis() > 0 && hasOtherBackend(watched)) {
            watched.abort();
            handleFailure(watched, true, "silent for " + silentMillis + " ms");
        }
    }

    private long silenceLimitMillis() {
        return (long)
                (streamStarted
                        ? route().pauseMillis() * SILENCE_LIMIT_PER_PAUSE
                        : route().objectiveMillis() * SILENCE_LIMIT_PER_OBJECTIVE);
    }

    private boolean hasOtherBackend(BackendAttempt watched) {
        return environment.view().ofService(admission.service(), environment.nowNanos()).stream()
                .map(BackendRecord::backend)
                .anyMatch(
                        other ->
                                !other.equals(watched.target().backend().backend())
                                        && !retries.excluded().contains(other));
    }

    private boolean mayTryAnother() {
        return retries.mayTryAnother(route(), streamStarted, splitter.lastEventId().isPresent());
    }

    /**
     * Tries another backend server, when the last one was not reached or the retry budget permits a
     * retry.
     */
    private void tryAnother() {
        if (remainingMillis() > 0 && mayTryAnother()) {
            splitter.discardPartialEvent();
            findTarget();
        } else {
            giveUp();
        }
    }

    private void retryOrGiveUp(BackendAttempt failed) {
        retries.exclude(failed.target().backend().backend());
        if (mayTryAnother() && environment.retryBudget().tryRetry(admission.service())) {
            tryAnother();
        } else {
            giveUp();
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
        final BackendAttempt current = attempt;
        if (current != null) {
            reportFailedAttempt(current, true, "time limit reached");
        }
        if (streamStarted) {
            client.abort();
            finish(ResultCode.ANSWER_INCOMPLETE, 0, "time limit reached within a stream");
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

    /** Ends the request and aborts the attempt in flight, if any. */
    private void finish(ResultCode code, int status, String reason) {
        done = true;
        if (limitTimer != null) {
            limitTimer.cancel(false);
        }
        silence.stop();
        final String backend = lastBackend();
        if (attempt != null) {
            final BackendAttempt last = attempt;
            endAttempt(last);
            if (code != ResultCode.OK) {
                last.abort();
            }
        }
        admission.abandon();
        if (code != ResultCode.OK && !retries.mayHaveRun() && attempt == null) {
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
                                retries.sends(),
                                status,
                                code,
                                reason,
                                TimeUnit.NANOSECONDS.toMillis(waitedUntil - arrivedNanos),
                                TimeUnit.NANOSECONDS.toMillis(nowNanos - arrivedNanos),
                                splitter.eventCount(),
                                pauses.longestMillis()));
    }

    private void endAttempt(BackendAttempt ended) {
        if (attempt == ended) {
            attempt = null;
            silence.stop();
            readingPaused = false;
            environment
                    .view()
                    .requestEnded(ended.target().backend().backend(), ended.target().key());
        }
    }

    private void reportFailedAttempt(BackendAttempt failed, boolean mayHaveRun, String reason) {
        environment
                .observer()
                .attemptFailed(
                        request,
                        failed.target().backend().backend(),
                        failed.number(),
                        mayHaveRun,
                        reason);
    }

    private boolean isStale(BackendAttempt from) {
        return done || attempt != from;
    }

    private long remainingMillis() {
        final long limit =
                Math.min(request.deadlineMillis().orElse(Long.MAX_VALUE), route().timeoutMillis());
        return limit - TimeUnit.NANOSECONDS.toMillis(environment.nowNanos() - arrivedNanos);
    }
}
