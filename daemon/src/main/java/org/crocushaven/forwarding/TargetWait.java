package org.crocushaven.forwarding;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.crocushaven.fleet.BackendRecord;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Waits until there is a backend server for one request, and until that is ready for it. Used on
 * the event loop only.
 */
final class TargetWait {
    /** Interval at which a wait looks whether its backend server has left. */
    private static final long WAIT_CHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private static final String PATHS_CLOSED = "no open path";

    /** Age of the control state from which on the leader does not answer: two reports. */
    private static final long LEADER_AWAY_MILLIS = 600;

    /** Time after which closed paths have been tried again. */
    private static final Duration CLOSED_RETRY_DELAY = Duration.ofMillis(400);

    private final ForwardedRequest served;
    private final ForwardingEnvironment environment;
    private final RequestEnd end;
    private final RequestForwarding forwarding;

    /**
     * Creates the waits of one request.
     *
     * @param forwarding sends the request to the target
     */
    TargetWait(ForwardedRequest served, RequestEnd end, RequestForwarding forwarding) {
        this.served = served;
        this.environment = served.environment();
        this.end = end;
        this.forwarding = forwarding;
    }

    /** Returns whether this gateway has no open path to any backend server of the service. */
    boolean areAllPathsClosed() {
        final long nowNanos = environment.nowNanos();
        return environment
                .paths()
                .areAllClosed(
                        environment.view().ofService(served.admission().service(), nowNanos),
                        nowNanos);
    }

    /**
     * Looks for a backend server and sends the request to it, hands it over to another gateway, or
     * ends it.
     */
    void find() {
        if (!areAllPathsClosed()) {
            findOwn();
        } else if (served.request().isRelayed()) {
            end.keepRefusal(
                    ResultException.of(ResultCode.NO_BACKEND_SERVER, served.admission().service())
                            .withRetryAfter(CLOSED_RETRY_DELAY));
            end.giveUp();
        } else if (!forwarding.tryHandOver(PATHS_CLOSED)) {
            askForRelays();
        }
    }

    /** Waits for the leader's next update, which may name relays, unless none is to be expected. */
    private void askForRelays() {
        if (environment.freshness().ageMillis(environment.nowNanos()) < LEADER_AWAY_MILLIS) {
            environment.leader().afterNextReport(() -> ifNotDone(this::handOverOrFindOwn));
        } else {
            findOwn();
        }
    }

    private void handOverOrFindOwn() {
        if (!forwarding.tryHandOver(PATHS_CLOSED)) {
            findOwn();
        }
    }

    private void findOwn() {
        forwarding.orEnd(
                () ->
                        new TargetFinder(environment)
                                .find(
                                        served.admission(),
                                        served.request(),
                                        served.urgency(),
                                        served.retries().excluded(),
                                        served.retries().takeMissingAt(),
                                        served.continuation())
                                .whenComplete(
                                        (target, failure) ->
                                                ifNotDone(() -> found(target, failure))));
    }

    private void found(Target target, Throwable failure) {
        if (failure instanceof ResultException
                && environment.paths().isAnyClosed()
                && forwarding.tryHandOver("no room on open paths")) {
            return;
        }
        if (failure instanceof ResultException refusal) {
            end.keepRefusal(refusal);
            if (served.retries().sends() > 0) {
                environment.observer().retryUnavailable(served.request(), "target");
            }
            end.giveUp();
        } else if (failure != null) {
            end.afterFault(failure);
        } else if (target.delayMillis() >= served.remainingMillis()) {
            end.keepRefusal(
                    ResultException.of(ResultCode.QUEUE_FULL, served.admission().service())
                            .withRetryAfter(Duration.ofMillis(target.delayMillis())));
            end.giveUp();
        } else if (target.delayMillis() > 0) {
            sendLater(target, target.delayMillis());
        } else {
            forwarding.send(target);
        }
    }

    /** Sends the request to a target after a wait for its adapter. */
    void sendLater(Target target, long delayMillis) {
        waitForAdapter(target, delayMillis, () -> ifNotDone(() -> sendAfterWait(target)));
    }

    /** Runs an action after a wait for an adapter, which counts as a request there meanwhile. */
    void waitForAdapter(Target target, long delayMillis, Runnable then) {
        final String backend = target.backend().backend();
        served.recordAdapterWait(delayMillis);
        environment.view().requestStarted(backend, target.key());
        checkWait(
                target,
                environment.nowNanos() + TimeUnit.MILLISECONDS.toNanos(delayMillis),
                () -> {
                    environment.view().requestEnded(backend, target.key());
                    then.run();
                });
    }

    /** Ends a wait when its time has come, the request has ended or the backend server leaves. */
    private void checkWait(Target target, long endNanos, Runnable then) {
        final long leftNanos = endNanos - environment.nowNanos();
        if (leftNanos <= 0 || served.isDone() || hasLeft(target)) {
            then.run();
            return;
        }
        environment
                .loop()
                .schedule(
                        () -> checkWait(target, endNanos, then),
                        Math.min(leftNanos, WAIT_CHECK_NANOS),
                        TimeUnit.NANOSECONDS);
    }

    private boolean hasLeft(Target target) {
        return environment
                .view()
                .find(target.backend().backend())
                .filter(BackendRecord::acceptsRequests)
                .isEmpty();
    }

    /**
     * Sends a request to the target that it waited for, waits on if the adapter is expected later
     * by now, or looks for another one if that one left or does not load the adapter.
     */
    private void sendAfterWait(Target target) {
        final Optional<Target> usable = stillUsable(target);
        final OptionalLong waitMillis =
                target.adapterPending()
                        ? environment
                                .view()
                                .waitMillis(
                                        target.backend().backend(),
                                        target.key(),
                                        environment.nowNanos())
                        : OptionalLong.of(0);
        if (usable.isPresent() && waitMillis.isEmpty()) {
            findOwn();
        } else if (usable.isPresent() && waitMillis.getAsLong() > 0) {
            found(target.withDelay(waitMillis.getAsLong()), null);
        } else if (usable.isPresent()) {
            forwarding.send(usable.get());
        } else {
            served.retries().exclude(target.backend().backend());
            forwarding.tryAnother();
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
                .filter(served.continuation()::allows)
                .map(target::with);
    }

    private void ifNotDone(Runnable step) {
        if (!served.isDone()) {
            forwarding.orEnd(step);
        }
    }
}
