package org.crocushaven.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Holds the requests that wait for a load from the weight store, gathered by adapter.
 *
 * <p>Answers bursts that need more loads than the store serves: the adapter that most requests wait
 * for comes first, and nothing waits longer than a bound. Not thread-safe.
 */
final class AdapterQueue {
    /** Maximum wait, which with a load leaves time for most requests to get their first event. */
    static final long MAXIMUM_WAIT_MILLIS = 120;

    private final Map<AdapterRequest, Waiting> waiting = new LinkedHashMap<>();

    /** Adds a request; those for the same adapter, with the same exclusions, share a load. */
    CompletableFuture<AdapterGrant> add(AdapterRequest request, long nowNanos) {
        final CompletableFuture<AdapterGrant> grant = new CompletableFuture<>();
        waiting.computeIfAbsent(request.withoutMissing(), asked -> new Waiting(asked, nowNanos))
                .grants
                .add(grant);
        return grant;
    }

    /** Returns whether a request waits that may share its load with the given one. */
    boolean holds(AdapterRequest request) {
        return waiting.containsKey(request.withoutMissing());
    }

    /** Returns the number of loads that are waited for. */
    int size() {
        return waiting.size();
    }

    /** Returns the adapters in the order in which they should be loaded. */
    List<Waiting> inOrder() {
        final List<Waiting> ordered = new ArrayList<>(waiting.values());
        ordered.sort(Comparator.comparingInt(entry -> -entry.grants.size()));
        return ordered;
    }

    /** Removes an entry, which the caller grants or refuses. */
    void remove(Waiting entry) {
        waiting.remove(entry.request);
    }

    /** Removes and returns an entry that has waited for as long as it may, if there is one. */
    Optional<Waiting> pollExpired(long nowNanos) {
        final Optional<Waiting> oldest = waiting.values().stream().findFirst();
        if (oldest.isEmpty()
                || nowNanos - oldest.get().sinceNanos
                        < TimeUnit.MILLISECONDS.toNanos(MAXIMUM_WAIT_MILLIS)) {
            return Optional.empty();
        }
        remove(oldest.get());
        return oldest;
    }

    /** The requests that wait for one adapter. */
    static final class Waiting {
        private final AdapterRequest request;
        private final long sinceNanos;
        private final List<CompletableFuture<AdapterGrant>> grants = new ArrayList<>();

        private Waiting(AdapterRequest request, long sinceNanos) {
            this.request = request;
            this.sinceNanos = sinceNanos;
        }

        AdapterRequest request() {
            return request;
        }

        /** Returns for how long its first request has waited, in milliseconds. */
        long waitedMillis(long nowNanos) {
            return TimeUnit.NANOSECONDS.toMillis(nowNanos - sinceNanos);
        }

        /** Answers all requests alike. */
        void complete(AdapterGrant grant) {
            grants.forEach(waiting -> waiting.complete(grant));
        }
    }
}
