package org.crocushaven.forwarding;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.crocushaven.fleet.AdapterAsk;
import org.crocushaven.fleet.AdapterGrant;
import org.crocushaven.fleet.AdapterKey;
import org.crocushaven.fleet.BackendRecord;
import org.crocushaven.ingress.IngressRequest;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Finds the backend server for a request: one that holds its adapter and has free slots, else one
 * on which the leader permits loading it.
 */
final class TargetFinder {
    /**
     * Load, as a fraction of the slots, from which on a backend server is used only when no other
     * one is available.
     */
    private static final double FULL_LOAD = 1.0;

    /**
     * Load, as a fraction of the slots and including queued requests, from which on a backend
     * server is not used.
     */
    private static final double LARGEST_LOAD = 1.5;

    /** Retry delay for a service whose backend servers are full. */
    private static final Duration FULL_RETRY = Duration.ofMillis(400);

    /** Retry delay for a service without known backend servers. */
    private static final Duration ABSENT_RETRY = Duration.ofMillis(700);

    private final ForwardingEnvironment environment;

    TargetFinder(ForwardingEnvironment environment) {
        this.environment = environment;
    }

    /**
     * Returns the target of a request. The future fails with a refusal that says when to retry.
     *
     * @param avoided backend servers that were already tried
     */
    CompletableFuture<Target> find(String service, IngressRequest request, Set<String> avoided) {
        return request.model().isPresent()
                ? findEngine(service, request, avoided)
                : findPlain(service, request, avoided);
    }

    private CompletableFuture<Target> findPlain(
            String service, IngressRequest request, Set<String> avoided) {
        final Optional<BackendChoice.Candidate> best =
                choose(environment.view().ofService(service), request, avoided);
        if (best.isEmpty()) {
            return refused(ResultCode.NO_BACKEND_SERVER, service, ABSENT_RETRY);
        }
        if (best.get().load() >= LARGEST_LOAD) {
            return refused(ResultCode.QUEUE_FULL, service, FULL_RETRY);
        }
        return CompletableFuture.completedFuture(new Target(best.get().backend(), null, 0, false));
    }

    private CompletableFuture<Target> findEngine(
            String service, IngressRequest request, Set<String> avoided) {
        final AdapterKey key =
                new AdapterKey(request.model().get().model(), request.model().get().adapter());
        final long nowNanos = environment.nowNanos();
        final Optional<BackendChoice.Candidate> holder =
                choose(environment.view().holdersOf(service, key, nowNanos), request, avoided);
        if (holder.isPresent() && holder.get().load() < FULL_LOAD && holder.get().failures() < 1) {
            return CompletableFuture.completedFuture(
                    new Target(holder.get().backend(), key, 0, false));
        }
        final Optional<Target> arriving = arriving(service, key, avoided, nowNanos);
        if (holder.isEmpty() && arriving.isPresent()) {
            return CompletableFuture.completedFuture(arriving.get());
        }
        final AdapterAsk ask =
                new AdapterAsk(service, key.model(), key.adapter(), new ArrayList<>(avoided));
        final CompletableFuture<Target> found = new CompletableFuture<>();
        environment
                .leader()
                .ask(ask)
                .whenComplete((grant, failure) -> granted(found, service, key, holder, grant));
        return found;
    }

    /**
     * Returns the backend server on which the adapter is available first, unless that backend
     * server is full, failing or was already tried.
     */
    private Optional<Target> arriving(
            String service, AdapterKey key, Set<String> avoided, long nowNanos) {
        return environment
                .view()
                .firstArrival(service, key, nowNanos)
                .filter(arrival -> !avoided.contains(arrival.backend().backend()))
                .filter(arrival -> load(arrival.backend()) < FULL_LOAD)
                .filter(arrival -> failures(arrival.backend(), nowNanos) < 1)
                .map(
                        arrival ->
                                new Target(
                                        arrival.backend(),
                                        key,
                                        TimeUnit.NANOSECONDS.toMillis(arrival.waitNanos()),
                                        true));
    }

    private double failures(BackendRecord backend, long nowNanos) {
        return environment.health().failures(backend.backend(), nowNanos);
    }

    private double load(BackendRecord backend) {
        return environment.view().requestsAt(backend.backend())
                / (double) Math.max(1, backend.slots());
    }

    private void granted(
            CompletableFuture<Target> found,
            String service,
            AdapterKey key,
            Optional<BackendChoice.Candidate> holder,
            AdapterGrant grant) {
        final Optional<BackendRecord> backend =
                grant == null || !grant.isGranted()
                        ? Optional.empty()
                        : environment.view().find(grant.backend());
        if (backend.isPresent() && backend.get().takesRequests()) {
            final long usableNanos =
                    environment.nowNanos() + TimeUnit.MILLISECONDS.toNanos(grant.readyInMillis());
            environment.view().learn(grant.backend(), key, grant.version(), usableNanos);
            found.complete(new Target(backend.get(), key, grant.readyInMillis(), true));
        } else if (holder.isPresent() && holder.get().load() < LARGEST_LOAD) {
            found.complete(new Target(holder.get().backend(), key, 0, false));
        } else if (grant == null) {
            refuse(
                    found,
                    ResultCode.NO_DISPATCHER,
                    service,
                    environment.freshness().untilAnswer(environment.nowNanos()));
        } else {
            refuse(found, ResultCode.QUEUE_FULL, service, Duration.ofMillis(grant.readyInMillis()));
        }
    }

    private Optional<BackendChoice.Candidate> choose(
            List<BackendRecord> backends, IngressRequest request, Set<String> avoided) {
        final long nowNanos = environment.nowNanos();
        final String reader = environment.prompts().backendOf(request);
        final List<BackendChoice.Candidate> candidates = new ArrayList<>(backends.size());
        for (final BackendRecord backend : backends) {
            if (!avoided.contains(backend.backend())) {
                candidates.add(
                        new BackendChoice.Candidate(
                                backend,
                                environment.view().requestsAt(backend.backend()),
                                environment.health().failures(backend.backend(), nowNanos),
                                environment.view().promptTokensAt(backend.backend(), nowNanos),
                                backend.backend().equals(reader)));
            }
        }
        return environment.choice().choose(candidates);
    }

    private static CompletableFuture<Target> refused(
            ResultCode code, String service, Duration retryAfter) {
        return CompletableFuture.failedFuture(refusal(code, service, retryAfter));
    }

    private static void refuse(
            CompletableFuture<Target> found, ResultCode code, String service, Duration retry) {
        found.completeExceptionally(refusal(code, service, retry));
    }

    private static ResultException refusal(ResultCode code, String service, Duration retryAfter) {
        return ResultException.of(code, service).withRetryAfter(retryAfter);
    }
}
