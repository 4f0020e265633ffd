package org.crocushaven.forwarding;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.crocushaven.fleet.BackendRecord;
import org.crocushaven.fleet.StreamIdentifier;
import org.crocushaven.fleet.StreamOrigin;
import org.crocushaven.fleet.StreamOriginAnswer;
import org.crocushaven.fleet.StreamOriginQuery;
import org.crocushaven.ingress.IngressRequest;
import org.crocushaven.ingress.RouteKind;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Keeps the stream of one request at the software version that brought its first event, also when
 * that was an earlier request of the client at another gateway.
 *
 * <p>A stream of which nobody knows where it began is refused rather than guessed. Used on the
 * event loop only.
 */
final class StreamContinuation {
    /**
     * Time after which the leader is asked again; by then the regular report of the gateway at
     * which the stream began has arrived.
     */
    private static final long SECOND_QUERY_DELAY_MILLIS = 300;

    private static final Duration UNKNOWN_RETRY_DELAY = Duration.ofMillis(500);

    private final ForwardingEnvironment environment;
    private final IngressRequest request;
    private final RequestAdmission admission;
    private final SoftwareVersionRule rule = new SoftwareVersionRule();

    StreamContinuation(
            ForwardingEnvironment environment, IngressRequest request, RequestAdmission admission) {
        this.environment = environment;
        this.request = request;
        this.admission = admission;
    }

    /**
     * Finds out where the stream began that the client takes up, if it takes up one. The future
     * completes on the event loop, and fails with a refusal when that is not known.
     */
    CompletableFuture<Void> prepare() {
        final CompletableFuture<Void> prepared = new CompletableFuture<>();
        final Optional<StreamOrigin> own =
                request.resumedRequestId().flatMap(environment.streams()::find);
        if (!takesUpStream()) {
            prepared.complete(null);
        } else if (own.isPresent()) {
            goOnAt(own.get());
            prepared.complete(null);
        } else {
            askLeader(prepared, request.resumedRequestId().isPresent() ? 2 : 1);
        }
        return prepared;
    }

    /** Records that a backend server has brought the first event of the answer. */
    void firstEventReceived(BackendRecord backend) {
        rule.require(backend.softwareVersion());
        final StreamOrigin origin = new StreamOrigin(backend.service(), backend.softwareVersion());
        final long nowNanos = environment.nowNanos();
        environment.streams().recordBegun(request.requestId(), origin, nowNanos);
        request.resumedRequestId()
                .ifPresent(begun -> environment.streams().recordBegun(begun, origin, nowNanos));
    }

    /** Returns whether the request may be sent to a backend server. */
    boolean allows(BackendRecord backend) {
        return rule.allows(backend);
    }

    /** Adds the backend servers of other software versions to those that were excluded. */
    Set<String> excluded(Set<String> excluded) {
        return rule.excluded(
                excluded,
                environment.view().ofService(admission.service(), environment.nowNanos()));
    }

    private boolean takesUpStream() {
        return admission.route().kind() == RouteKind.STREAM && request.takesUpStream();
    }

    private void goOnAt(StreamOrigin origin) {
        rule.require(origin.softwareVersion());
        admission.preferService(origin.service());
    }

    private void askLeader(CompletableFuture<Void> prepared, int queriesLeft) {
        final long stream =
                request.resumedRequestId().map(StreamIdentifier::of).orElse(StreamIdentifier.NONE);
        environment
                .leader()
                .findStreamOrigin(new StreamOriginQuery(stream, admission.service()))
                .whenComplete(
                        (answer, failure) -> {
                            try {
                                answered(prepared, queriesLeft, answer, failure);
                            } catch (RuntimeException fault) {
                                prepared.completeExceptionally(fault);
                            }
                        });
    }

    private void answered(
            CompletableFuture<Void> prepared,
            int queriesLeft,
            StreamOriginAnswer answer,
            Throwable failure) {
        if (failure == null && answer.origin().isPresent()) {
            goOnAt(answer.origin().get());
            prepared.complete(null);
        } else if (queriesLeft > 1) {
            askLeaderLater(prepared, queriesLeft - 1);
        } else {
            prepared.completeExceptionally(refusal(failure));
        }
    }

    private void askLeaderLater(CompletableFuture<Void> prepared, int queriesLeft) {
        environment
                .loop()
                .schedule(
                        () -> {
                            try {
                                askLeader(prepared, queriesLeft);
                            } catch (RuntimeException fault) {
                                prepared.completeExceptionally(fault);
                            }
                        },
                        SECOND_QUERY_DELAY_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private ResultException refusal(Throwable failure) {
        return ResultException.of(ResultCode.SOFTWARE_VERSION_UNKNOWN, admission.service())
                .withRetryAfter(
                        failure == null
                                ? UNKNOWN_RETRY_DELAY
                                : environment.freshness().retryDelay(environment.nowNanos()));
    }
}
