package org.crocushaven.serving;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.crocushaven.backend.BackendServer;
import org.crocushaven.caller.CallerRequest;
import org.crocushaven.caller.CallerResponse;
import org.crocushaven.configuration.FleetConfiguration;
import org.crocushaven.configuration.Organisation;
import org.crocushaven.observability.EventLine;
import org.crocushaven.protocol.Failures;
import org.crocushaven.result.Execution;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.crocushaven.result.StopRefusals;
import org.crocushaven.security.ActiveRequests;
import org.crocushaven.serving.RouteStage.Route;

/**
 * Executes one request through its stages: target, key, charge, claim, permit and backend server.
 *
 * <p>The stages run one after another; only a cancellation can arrive concurrently. Lock rank 60
 * guards the state of the execution; only the registration for cancellation is closed under it.
 */
final class RequestExecution {
    private static final Duration DISPATCHER_WAIT_INTERVAL = Duration.ofMillis(200);
    private static final Duration NO_SERVER_RETRY_AFTER = Duration.ofMillis(500);

    private final ServingEnvironment environment;
    private final CallerRequest request;
    private final CallerResponse response;
    private final String permitId;
    private final Runnable ended;
    private final RequestProgress progress;
    private final RetryRules retries;
    private final RequestCharge charge;
    private ResolvedTarget target;
    private Optional<Organisation> organisation = Optional.empty();
    private RouteStage routes;
    private AtMostOnceGate.Claim claim;
    private ActiveRequests.Registration registration = () -> {};
    private BackendAttempt attempt;
    private long deadlineNanos;
    private boolean callerGone;
    private boolean cancelled;
    private boolean finished;

    RequestExecution(
            ServingEnvironment environment,
            CallerRequest request,
            CallerResponse response,
            String permitId,
            Runnable ended) {
        this.environment = environment;
        this.request = request;
        this.response = response;
        this.permitId = permitId;
        this.ended = ended;
        this.charge = new RequestCharge(environment.shares());
        this.progress = new RequestProgress(environment.clock());
        this.retries =
                new RetryRules(
                        () ->
                                environment
                                        .fleet()
                                        .tryRetry(
                                                organisationName(),
                                                environment.clock().nanoTime()));
    }

    /** Starts the first stage. */
    void start() {
        response.onCallerGone(this::callerGone);
        response.onInstanceEnding(this::instanceEnds);
        try {
            final FleetConfiguration configuration = environment.configuration().get();
            if (request.key().isPresent()) {
                registration =
                        environment.activeRequests().add(request.key().get(), this::keyWithdrawn);
            }
            target = TargetResolver.resolve(configuration, request);
            organisation = checkKey(configuration);
            routes = new RouteStage(environment, progress, request, target, organisationName());
            deadlineNanos = deadline();
            charge();
        } catch (ResultException refusal) {
            refuse(refusal);
        } catch (RuntimeException fault) {
            faulted(fault);
        }
    }

    CallerRequest request() {
        return request;
    }

    CallerResponse response() {
        return response;
    }

    ResolvedTarget target() {
        return target;
    }

    ServingEnvironment environment() {
        return environment;
    }

    String permitId() {
        return permitId;
    }

    String organisationName() {
        return organisation.map(Organisation::name).orElse("");
    }

    AtMostOnceGate.Claim claim() {
        return claim;
    }

    /**
     * Checks that the key is still granted and, when the request has a permit, that the session is
     * still valid.
     */
    void checkBeforeSending(boolean hasPermit) {
        if (hasPermit && !environment.sessionIsValid().getAsBoolean()) {
            throw ResultException.of(ResultCode.PERMIT_STALE);
        }
        checkKey(environment.configuration().get());
    }

    /** Returns the time left until the deadline, in nanoseconds. */
    long remainingNanos() {
        return deadlineNanos - environment.clock().nanoTime();
    }

    /** Returns whether the request has ended, so that nothing more may be sent for it. */
    synchronized boolean isFinished() {
        return finished;
    }

    /** Returns whether no further attempt may be made. */
    private synchronized boolean isOver() {
        return finished || cancelled;
    }

    /** Returns whether the caller no longer waits for the answer. */
    synchronized boolean isCallerGone() {
        return callerGone;
    }

    RequestProgress progress() {
        return progress;
    }

    /**
     * Ends the request after its answer is complete.
     *
     * @param usedTokens tokens to charge; negative when unknown, so that the charge is kept
     */
    void answered(long usedTokens) {
        charge.settle(usedTokens < 0 ? charge.tokens() : usedTokens);
        if (finish()) {
            try {
                environment.listener().answered(summary());
            } finally {
                ended.run();
            }
        }
    }

    /**
     * Handles an attempt that failed before any byte of the answer reached the caller: retries it
     * or refuses the request.
     */
    void attemptFailed(ResultException failure) {
        synchronized (this) {
            attempt = null;
        }
        routes.excludeLast();
        retries.failed(failure);
        if (!isOver() && remainingNanos() > 0 && retries.mayRetry(target.idempotent())) {
            nextAttempt();
        } else {
            refuse(failure);
        }
    }

    /** Handles an attempt that failed after part of the answer was passed to the caller. */
    void answerInterrupted(ResultException failure) {
        refuse(failure.withExecution(Execution.RAN));
    }

    /** Runs a step of this request, which ends if the step throws. */
    void orEnd(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException fault) {
            faulted(fault);
        }
    }

    /** Ends the request after an unexpected exception, rather than hold it. */
    private void faulted(RuntimeException fault) {
        EventLine.fault(fault).error();
        if (isFinished()) {
            endClaim(Execution.UNKNOWN);
            return;
        }
        final BackendAttempt running;
        synchronized (this) {
            running = attempt;
        }
        final boolean sent = running != null && !running.cancelIfUnsent();
        if (sent) {
            running.cancelAfterSending();
        }
        refuse(
                ResultException.of(ResultCode.INTERNAL, fault.getClass().getSimpleName())
                        .withExecution(sent ? Execution.UNKNOWN : Execution.NOT_RUN));
    }

    private Optional<Organisation> checkKey(FleetConfiguration configuration) {
        final Optional<Organisation> checked =
                environment.keys().check(configuration, request.key(), target.open());
        target.adapter().ifPresent(adapter -> environment.keys().checkPermitted(adapter, checked));
        return checked;
    }

    private long deadline() {
        final long longest = TimeUnit.MILLISECONDS.toNanos(target.timeoutMillis());
        return longest == Long.MAX_VALUE
                ? request.deadlineNanos()
                : Math.min(request.deadlineNanos(), progress.arrivalNanos() + longest);
    }

    private void charge() {
        if (organisation.isEmpty() || target.tokens() == 0) {
            claimThenAttempt();
            return;
        }
        charge.charge(organisation.get(), target.tokens())
                .whenComplete((charged, failure) -> orRefuse(failure, this::claimThenAttempt));
    }

    private void claimThenAttempt() {
        environment.fleet().requested(organisationName(), environment.clock().nanoTime());
        if (target.idempotent()) {
            nextAttempt();
            return;
        }
        environment
                .once()
                .claim(organisationName(), target.service().name(), request)
                .whenComplete((outcome, failure) -> orRefuse(failure, () -> claimed(outcome)));
    }

    private void claimed(AtMostOnceGate.Claim outcome) {
        if (outcome.storedAnswer() != null) {
            replay(outcome);
        } else {
            claim = outcome;
            nextAttempt();
        }
    }

    /** Refuses the request if what it waited for failed, else goes on. */
    private void orRefuse(Throwable failure, Runnable next) {
        if (failure == null) {
            orEnd(next);
        } else {
            orEnd(() -> refuse(Failures.toResultException(failure)));
        }
    }

    private void replay(AtMostOnceGate.Claim outcome) {
        charge.settle(0);
        if (!isFinished() && !isCallerGone()) {
            AnswerHeaders.replay(response, outcome);
        }
        answered(0);
    }

    private void nextAttempt() {
        if (isOver()) {
            releaseUnsent();
            return;
        }
        if (remainingNanos() <= 0) {
            refuse(ResultException.of(ResultCode.DEADLINE_PASSED));
            return;
        }
        try {
            checkKey(environment.configuration().get());
        } catch (ResultException refusal) {
            refuse(refusal);
            return;
        }
        routes.startAttempt().ifPresentOrElse(this::attempt, this::waitForDispatcherOrRefuse);
    }

    private void attempt(Route route) {
        if (target.isEngine()) {
            askPermit(route);
        } else {
            send(route.server(), false);
        }
    }

    /**
     * Schedules another attempt if a dispatcher is expected to be replaced, else refuses the
     * request.
     */
    private void waitForDispatcherOrRefuse() {
        final boolean expected = environment.fleet().awaitsDispatcher(target.service().name());
        if (remainingNanos() > DISPATCHER_WAIT_INTERVAL.toNanos()
                && retries.mayWaitForDispatcher(expected)) {
            routes.clearExcluded();
            environment
                    .scheduler()
                    .schedule(() -> orEnd(this::nextAttempt), DISPATCHER_WAIT_INTERVAL);
        } else {
            refuse(
                    retries.lastFailureOr(
                            ResultException.of(
                                            ResultCode.NO_BACKEND_SERVER, target.service().name())
                                    .withRetryAfter(NO_SERVER_RETRY_AFTER)));
        }
    }

    private void askPermit(Route route) {
        new PermitStage(environment, progress, target, organisation)
                .requestPermit(
                        route.server(),
                        route.dispatcher(),
                        permitId,
                        request.urgency(),
                        remainingNanos())
                .whenComplete(
                        (hasPermit, failure) ->
                                orEnd(
                                        () -> {
                                            if (failure == null) {
                                                send(route.server(), hasPermit);
                                            } else {
                                                attemptFailed(Failures.toResultException(failure));
                                            }
                                        }));
    }

    private void send(BackendServer server, boolean hasPermit) {
        final BackendAttempt started = new BackendAttempt(this, server, hasPermit);
        if (claim == null) {
            startUnlessOver(started);
            return;
        }
        claim.startSending()
                .whenComplete(
                        (done, failure) -> {
                            if (failure != null) {
                                started.cancelIfUnsent();
                            }
                            orRefuse(failure, () -> startUnlessOver(started));
                        });
    }

    private void startUnlessOver(BackendAttempt started) {
        final boolean over;
        synchronized (this) {
            over = finished || cancelled;
            if (!over) {
                attempt = started;
            }
        }
        if (over) {
            started.cancelIfUnsent();
            releaseUnsent();
        } else {
            started.send();
        }
    }

    /** Ends the request with a refusal. The charge is kept unless the request was not run. */
    private void refuse(ResultException reason) {
        final ResultException refusal = retries.withOverallExecution(reason);
        if (refusal.execution() == Execution.NOT_RUN) {
            charge.settle(0);
        }
        endClaim(refusal.execution());
        if (finish()) {
            try {
                if (!isCallerGone()) {
                    response.refuse(refusal);
                }
                environment.listener().refused(summary(), refusal);
            } finally {
                ended.run();
            }
        }
    }

    private void endClaim(Execution execution) {
        if (claim == null) {
            return;
        }
        if (execution == Execution.NOT_RUN) {
            claim.release();
        } else {
            claim.abandon();
        }
    }

    private void releaseUnsent() {
        charge.settle(0);
        endClaim(Execution.NOT_RUN);
    }

    private void callerGone() {
        synchronized (this) {
            callerGone = true;
        }
        final ResultException reason = ResultException.of(ResultCode.CALLER_CANCELLED);
        cancel(reason, reason);
    }

    private void keyWithdrawn(ResultException reason) {
        cancel(reason, reason);
    }

    private void instanceEnds() {
        cancel(StopRefusals.notRun(), StopRefusals.mayHaveRun(progress.backendServer()));
    }

    /**
     * Cancels the request. A non-idempotent call that was already sent continues, so that its
     * outcome is stored.
     *
     * @param beforeSending refusal of a request that is not at a backend server
     * @param afterSending refusal of a request that may be at one
     */
    private void cancel(ResultException beforeSending, ResultException afterSending) {
        final BackendAttempt running;
        synchronized (this) {
            cancelled = true;
            running = attempt;
        }
        if (running == null && !progress.backendServer().isEmpty()) {
            environment.permits().cancel(progress.backendServer(), permitId);
        }
        if (running == null || running.cancelIfUnsent()) {
            refuse(beforeSending.withExecution(Execution.NOT_RUN));
        } else if (target.idempotent()) {
            running.cancelAfterSending();
            refuse(afterSending);
        } else if (!isCallerGone() && finish()) {
            response.refuse(afterSending);
            environment.listener().refused(summary(), afterSending);
            ended.run();
        }
    }

    private synchronized boolean finish() {
        final boolean first = !finished;
        finished = true;
        if (first) {
            registration.close();
        }
        return first;
    }

    private ServingListener.RequestSummary summary() {
        return progress.summary(request.requestId(), organisationName(), target, charge.tokens());
    }
}
