package org.crocushaven.forwarding;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.crocushaven.admission.Urgency;
import org.crocushaven.fleet.AdapterGrant;
import org.crocushaven.fleet.AdapterKey;
import org.crocushaven.fleet.AdapterRequest;
import org.crocushaven.fleet.BackendRecord;
import org.crocushaven.ingress.IngressRequest;
import org.crocushaven.residency.AllowedRegions;
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
    private static final double MAXIMUM_LOAD = 1.5;

    /**
     * Load from which on an engine that holds the adapter is not used even if no other one can load
     * it: more requests only wait there, until one of the streams that run has ended.
     */
    private static final double MAXIMUM_ENGINE_LOAD = 1.1;

    /** Retry delay for a service whose backend servers are full. */
    private static final Duration QUEUE_FULL_RETRY_DELAY = Duration.ofMillis(400);

    /** Retry delay for a service without known backend servers. */
    private static final Duration NO_BACKEND_RETRY_DELAY = Duration.ofMillis(700);

    /** Patience told for a request that has none, as 0 stands for that of earlier software. */
    private static final long SHORTEST_PATIENCE_MILLIS = 1;

    private final ForwardingEnvironment environment;

    TargetFinder(ForwardingEnvironment environment) {
        this.environment = environment;
    }

    /**
     * Returns the target of a request. The future fails with a refusal that says when to retry.
     *
     * @param admission route and organisation of the request, with the regions that they allow
     * @param urgency how urgent the request is, and for how long it may wait for a load
     * @param tried backend servers that were already tried
     * @param missingAt backend server that did not hold the request's adapter although it should;
     *     empty if there is none
     * @param continuation decides which software versions may serve the request
     */
    CompletableFuture<Target> find(
            RequestAdmission admission,
            IngressRequest request,
            Urgency urgency,
            Set<String> tried,
            String missingAt,
            StreamContinuation continuation) {
        final String service = admission.service();
        environment.view().recordWantedOfLimited(service, environment.nowNanos());
        environment
                .view()
                .recordWantedOfCold(service, environment.random(), environment.nowNanos());
        final Optional<Duration> pause =
                environment.view().pauseOf(service, environment.nowNanos());
        if (pause.isPresent()) {
            return refused(ResultCode.QUEUE_FULL, service, pause.get());
        }
        final Set<String> excluded = withoutForbidden(admission, continuation.excluded(tried));
        return request.model().isPresent()
                ? findForModel(service, request, urgency, excluded, missingAt, continuation)
                : findWithoutModel(service, request, excluded);
    }

    /** Adds the backend servers in regions where the request may not run. */
    private Set<String> withoutForbidden(RequestAdmission admission, Set<String> excluded) {
        final AllowedRegions allowed = admission.allowedRegions();
        if (!allowed.isBound()) {
            return excluded;
        }
        final Set<String> all = new LinkedHashSet<>(excluded);
        for (final BackendRecord record : environment.view().records()) {
            if (!allowed.allows(environment.regions().regionOf(record.failureDomain()))) {
                all.add(record.backend());
            }
        }
        return all;
    }

    private CompletableFuture<Target> findWithoutModel(
            String service, IngressRequest request, Set<String> excluded) {
        final Optional<BackendSelector.Candidate> best =
                select(
                        environment.view().ofService(service, environment.nowNanos()),
                        request,
                        excluded);
        if (best.isEmpty()) {
            return refused(ResultCode.NO_BACKEND_SERVER, service, NO_BACKEND_RETRY_DELAY);
        }
        if (best.get().load() >= MAXIMUM_LOAD) {
            return refused(ResultCode.QUEUE_FULL, service, QUEUE_FULL_RETRY_DELAY);
        }
        return CompletableFuture.completedFuture(new Target(best.get().backend(), null, 0, false));
    }

    private CompletableFuture<Target> findForModel(
            String service,
            IngressRequest request,
            Urgency urgency,
            Set<String> excluded,
            String missingAt,
            StreamContinuation continuation) {
        final AdapterKey key =
                new AdapterKey(request.model().get().model(), request.model().get().adapter());
        final long nowNanos = environment.nowNanos();
        final Optional<BackendSelector.Candidate> holder =
                select(environment.view().holdersOf(service, key, nowNanos), request, excluded);
        if (holder.isPresent() && holder.get().load() < FULL_LOAD && holder.get().failures() < 1) {
            return CompletableFuture.completedFuture(
                    new Target(holder.get().backend(), key, 0, false));
        }
        final Optional<Target> pending =
                pendingTarget(service, key, excluded, continuation, nowNanos);
        if (holder.isEmpty() && pending.isPresent()) {
            return CompletableFuture.completedFuture(pending.get());
        }
        final AdapterRequest ask =
                new AdapterRequest(
                        service,
                        key.model(),
                        key.adapter(),
                        notToBeUsed(service, excluded),
                        missingAt,
                        urgency.priority(),
                        Math.max(SHORTEST_PATIENCE_MILLIS, urgency.patienceMillis()));
        final CompletableFuture<Target> found = new CompletableFuture<>();
        environment
                .leader()
                .requestAdapter(ask)
                .whenComplete(
                        (grant, failure) -> {
                            try {
                                completeWithGrant(
                                        found,
                                        service,
                                        key,
                                        holder,
                                        grant,
                                        backend ->
                                                continuation.allows(backend)
                                                        && !excluded.contains(backend.backend()));
                            } catch (RuntimeException fault) {
                                found.completeExceptionally(fault);
                            }
                        });
        return found;
    }

    /** Returns the excluded backend servers and those that do not want requests of this gateway. */
    private List<String> notToBeUsed(String service, Set<String> excluded) {
        final Set<String> all = new LinkedHashSet<>(excluded);
        environment.view().withheldByNotices(service, environment.nowNanos()).stream()
                .map(BackendRecord::backend)
                .forEach(all::add);
        environment.view().ofService(service, environment.nowNanos()).stream()
                .filter(backend -> !isOnOpenPath(backend))
                .map(BackendRecord::backend)
                .forEach(all::add);
        return List.copyOf(all);
    }

    /**
     * Returns the backend server on which the adapter is available first, unless that backend
     * server is full, failing or was already tried.
     */
    private Optional<Target> pendingTarget(
            String service,
            AdapterKey key,
            Set<String> excluded,
            StreamContinuation continuation,
            long nowNanos) {
        return environment
                .view()
                .earliestHolder(service, key, continuation::allows, nowNanos)
                .filter(holder -> !excluded.contains(holder.backend().backend()))
                .filter(holder -> load(holder.backend()) < FULL_LOAD)
                .filter(holder -> isOnOpenPath(holder.backend()))
                .filter(holder -> failures(holder.backend(), nowNanos) < 1)
                .map(
                        holder ->
                                new Target(
                                        holder.backend(),
                                        key,
                                        TimeUnit.NANOSECONDS.toMillis(holder.waitNanos()),
                                        true));
    }

    private double failures(BackendRecord backend, long nowNanos) {
        return environment.health().failures(backend.backend(), nowNanos);
    }

    private double load(BackendRecord backend) {
        return environment.view().requestsAt(backend.backend())
                / (double) Math.max(1, backend.requestSlots());
    }

    private void completeWithGrant(
            CompletableFuture<Target> found,
            String service,
            AdapterKey key,
            Optional<BackendSelector.Candidate> holder,
            AdapterGrant grant,
            Predicate<BackendRecord> condition) {
        final Optional<BackendRecord> backend =
                grant == null || !grant.isGranted()
                        ? Optional.empty()
                        : environment.view().find(grant.backend());
        if (backend.filter(this::acceptsRequests).filter(condition).isPresent()) {
            final long usableNanos =
                    environment.nowNanos() + TimeUnit.MILLISECONDS.toNanos(grant.readyInMillis());
            environment.view().addHolder(grant.backend(), key, grant.version(), usableNanos);
            found.complete(new Target(backend.get(), key, grant.readyInMillis(), true));
        } else if (holder.filter(this::isUsable).isPresent()) {
            found.complete(new Target(holder.get().backend(), key, 0, false));
        } else if (grant == null) {
            refuse(
                    found,
                    ResultCode.NO_DISPATCHER,
                    service,
                    environment.freshness().retryDelay(environment.nowNanos()));
        } else {
            refuse(found, ResultCode.QUEUE_FULL, service, Duration.ofMillis(grant.readyInMillis()));
        }
    }

    private boolean isUsable(BackendSelector.Candidate holder) {
        return holder.load() < MAXIMUM_ENGINE_LOAD && acceptsRequests(holder.backend());
    }

    private boolean acceptsRequests(BackendRecord backend) {
        return environment.view().acceptsRequests(backend, environment.nowNanos());
    }

    private Optional<BackendSelector.Candidate> select(
            List<BackendRecord> backends, IngressRequest request, Set<String> excluded) {
        final long nowNanos = environment.nowNanos();
        final String promptReader = environment.promptReaders().lastReader(request);
        final List<BackendSelector.Candidate> candidates = new ArrayList<>(backends.size());
        for (final BackendRecord backend : onOpenPaths(backends, request)) {
            if (!excluded.contains(backend.backend())) {
                candidates.add(
                        new BackendSelector.Candidate(
                                backend,
                                environment.view().requestsAt(backend.backend()),
                                environment.health().failures(backend.backend(), nowNanos),
                                environment
                                        .view()
                                        .loads()
                                        .promptTokensAt(backend.backend(), nowNanos),
                                backend.backend().equals(promptReader)));
            }
        }
        return environment.selector().select(candidates);
    }

    /**
     * Returns the backend servers with open paths; all if there are none, since a closed path may
     * be open again, unless another gateway wants to know that there are none.
     */
    private List<BackendRecord> onOpenPaths(List<BackendRecord> backends, IngressRequest request) {
        final List<BackendRecord> open =
                backends.stream().filter(backend -> isOnOpenPath(backend)).toList();
        return open.isEmpty() && !request.isRelayed() ? backends : open;
    }

    private boolean isOnOpenPath(BackendRecord backend) {
        return environment.paths().isOpen(backend, environment.nowNanos());
    }

    private static CompletableFuture<Target> refused(
            ResultCode code, String service, Duration retryAfter) {
        return CompletableFuture.failedFuture(refusal(code, service, retryAfter));
    }

    private static void refuse(
            CompletableFuture<Target> found, ResultCode code, String service, Duration retryAfter) {
        found.completeExceptionally(refusal(code, service, retryAfter));
    }

    private static ResultException refusal(ResultCode code, String service, Duration retryAfter) {
        return ResultException.of(code, service).withRetryAfter(retryAfter);
    }
}
