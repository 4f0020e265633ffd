package org.crocushaven.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.crocushaven.admission.FairQueue;
import org.crocushaven.admission.QueueEntry;
import org.crocushaven.configuration.AdapterVersion;

/**
 * Holds the permit requests that wait for a request slot or for the load of their version, and
 * chooses the next one.
 *
 * <p>Organisations are served fairly by their weights. Not thread-safe.
 */
final class PermitQueue {
    private final FairQueue<PermitRequest> queue;
    private final long batchingWaitNanos;
    private final Set<String> requestsAwaitingLoad = new HashSet<>();

    private PermitQueue(FairQueue<PermitRequest> queue, long batchingWaitNanos) {
        this.queue = queue;
        this.batchingWaitNanos = batchingWaitNanos;
    }

    /** Returns an empty queue. */
    static PermitQueue create(DispatcherSettings settings) {
        return new PermitQueue(
                FairQueue.create(settings.maximumQueueLength()), settings.batchingWaitNanos());
    }

    /**
     * Adds a request and returns the requests dropped because the queue is full, possibly the new
     * one.
     *
     * @param awaitsLoad whether the version of the request cannot serve yet
     */
    List<PermitRequest> offer(PermitRequest request, boolean awaitsLoad) {
        if (awaitsLoad) {
            requestsAwaitingLoad.add(request.requestId());
        }
        return forget(queue.offer(toQueueEntry(request)));
    }

    /** Removes a request and returns whether it was queued. */
    boolean remove(String requestId) {
        requestsAwaitingLoad.remove(requestId);
        return queue.remove(requestId).isPresent();
    }

    /** Removes and returns the requests that satisfy the condition, in order of arrival. */
    List<PermitRequest> removeIf(Predicate<PermitRequest> condition) {
        return forget(queue.removeIf(entry -> condition.test(entry.payload())));
    }

    /** Removes and returns the requests whose deadline has passed. */
    List<PermitRequest> expire(long nowNanos) {
        return forget(queue.expire(nowNanos));
    }

    /**
     * Removes and returns the next servable request in fair order. Until that one has waited for
     * the batching time, a request of the same organisation that is at least as urgent and has a
     * pinned version is preferred, because it joins a running batch.
     */
    Optional<ServedRequest> takeNext(
            Predicate<PermitRequest> isServable,
            Predicate<AdapterVersion> isPinned,
            long nowNanos) {
        final Optional<QueueEntry<PermitRequest>> next = nextEntry(isServable, isPinned, nowNanos);
        next.ifPresent(queue::removeServed);
        return next.map(QueueEntry::payload)
                .map(
                        request ->
                                new ServedRequest(
                                        request, requestsAwaitingLoad.remove(request.requestId())));
    }

    /** Returns the demands for the versions that satisfy the condition. */
    Collection<LoadDemand> demands(Predicate<AdapterVersion> needsLoad) {
        final Map<AdapterVersion, LoadDemand> demands = new HashMap<>();
        queue.entries().stream()
                .map(QueueEntry::payload)
                .filter(request -> request.version().filter(needsLoad).isPresent())
                .map(LoadDemand::of)
                .forEach(demand -> demands.merge(demand.version(), demand, LoadDemand::merge));
        return demands.values();
    }

    /** Returns whether a request for such a version has waited for at least the given time. */
    boolean hasWaitedFor(Predicate<AdapterVersion> needsLoad, long waitNanos, long nowNanos) {
        return queue.entries().stream()
                .filter(entry -> nowNanos - entry.arrivalNanos() >= waitNanos)
                .anyMatch(entry -> entry.payload().version().filter(needsLoad).isPresent());
    }

    /** Returns the versions for which requests are queued. */
    Set<AdapterVersion> versions() {
        final Set<AdapterVersion> versions = new HashSet<>();
        queue.entries().forEach(entry -> entry.payload().version().ifPresent(versions::add));
        return versions;
    }

    /** Returns how many queued requests are served before a new request of the organisation. */
    long countAhead(String organisation) {
        final int ownQueued = queue.size(organisation);
        final int competingOrganisations = queue.organisationCount() + (ownQueued == 0 ? 1 : 0);
        return Math.min(queue.size(), (long) (ownQueued + 1) * competingOrganisations - 1);
    }

    boolean contains(String requestId) {
        return queue.contains(requestId);
    }

    int size() {
        return queue.size();
    }

    private Optional<QueueEntry<PermitRequest>> nextEntry(
            Predicate<PermitRequest> isServable,
            Predicate<AdapterVersion> isPinned,
            long nowNanos) {
        final Optional<QueueEntry<PermitRequest>> first =
                queue.peek(entry -> isServable.test(entry.payload()));
        if (first.isEmpty() || nowNanos - first.get().arrivalNanos() >= batchingWaitNanos) {
            return first;
        }
        final String organisation = first.get().organisation();
        final Optional<QueueEntry<PermitRequest>> batched =
                queue.peek(
                        entry ->
                                entry.organisation().equals(organisation)
                                        && entry.urgency() <= first.get().urgency()
                                        && entry.payload().version().filter(isPinned).isPresent()
                                        && isServable.test(entry.payload()));
        return batched.isPresent() ? batched : first;
    }

    private List<PermitRequest> forget(List<QueueEntry<PermitRequest>> removed) {
        removed.forEach(entry -> requestsAwaitingLoad.remove(entry.identifier()));
        return removed.stream().map(QueueEntry::payload).toList();
    }

    private static QueueEntry<PermitRequest> toQueueEntry(PermitRequest request) {
        return new QueueEntry<>(
                request.requestId(),
                request.organisation(),
                Math.max(1, request.weight()),
                Math.max(0, request.tokens()),
                request.urgency(),
                request.deadlineNanos(),
                request.arrivalNanos(),
                request);
    }

    /**
     * A request that left the queue to be served.
     *
     * @param request the request
     * @param awaitedLoad whether its version could not serve yet when the request was queued
     */
    record ServedRequest(PermitRequest request, boolean awaitedLoad) {}
}
