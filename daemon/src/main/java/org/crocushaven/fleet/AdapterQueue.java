package org.crocushaven.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.IntToLongFunction;

/**
 * Holds the requests that wait for a load from the weight store, gathered by adapter.
 *
 * <p>Answers bursts that need more loads than the store serves: the most urgent request comes
 * first, among equals the adapter that has been refused for longest, then the one that most wait
 * for, and every few loads the oldest of all, so that none starves. A request that will not get its
 * turn in time leaves at once. Not thread-safe.
 */
final class AdapterQueue {
    /** Loads of which the last one goes to the adapter that was refused or waits for longest. */
    private static final int LOADS_FOR_OLDEST = 8;

    /** Bound on the number of loads that are waited for. */
    private static final int MAXIMUM_LOADS = 1_000;

    private static final Comparator<Waiting> BY_URGENCY =
            Comparator.comparingInt(Waiting::priority)
                    .thenComparingLong(Waiting::overdueSinceNanos)
                    .thenComparing(Comparator.comparingInt(Waiting::count).reversed())
                    .thenComparingLong(Waiting::sinceNanos);

    private static final Comparator<Waiting> BY_AGE =
            Comparator.comparingLong(Waiting::overdueSinceNanos)
                    .thenComparingLong(Waiting::sinceNanos);

    private final Map<AdapterRequest, Waiting> waiting = new LinkedHashMap<>();
    private int served;

    /**
     * Adds a request; those for the same adapter, with the same exclusions, share a load.
     *
     * @param overdueSince time since which its adapter was refused, if that is for long
     */
    CompletableFuture<AdapterGrant> add(
            AdapterRequest request, OptionalLong overdueSince, long nowNanos) {
        final Waiter waiter = new Waiter(request, nowNanos);
        waiting.computeIfAbsent(request.load(), load -> new Waiting(load, overdueSince))
                .waiters
                .add(waiter);
        return waiter.grant;
    }

    /** Returns whether a request waits that may share its load with the given one. */
    boolean holds(AdapterRequest request) {
        return waiting.containsKey(request.load());
    }

    /** Returns the number of loads that are waited for. */
    int size() {
        return waiting.size();
    }

    /** Returns whether no further load may be waited for. */
    boolean isFull() {
        return waiting.size() >= MAXIMUM_LOADS;
    }

    /**
     * Returns the number of loads that come before one of the given priority.
     *
     * @param overdueSince time since which its adapter was refused, if that is for long
     */
    int countBefore(int priority, OptionalLong overdueSince) {
        final long sinceNanos = overdueSince.orElse(Long.MAX_VALUE);
        return (int)
                waiting.values().stream()
                        .filter(
                                entry ->
                                        entry.priority() < priority
                                                || entry.priority() == priority
                                                        && entry.overdueSinceNanos() <= sinceNanos)
                        .count();
    }

    /** Returns whether the next load goes to the adapter that was refused for longest. */
    private boolean isTurnOfOldest() {
        return served % LOADS_FOR_OLDEST == LOADS_FOR_OLDEST - 1;
    }

    /**
     * Returns whether the next load may go to the adapter that was refused for longest, although no
     * request waits for it now.
     */
    boolean isTurnOfRefused() {
        return waiting.isEmpty() || isTurnOfOldest();
    }

    /** Counts a turn that was not a waiting request's. */
    void turnTaken() {
        served++;
    }

    /** Returns whether a request waits for an adapter. */
    boolean holdsAny(AdapterKey key) {
        return waiting.keySet().stream().anyMatch(load -> load.key().equals(key));
    }

    /** Returns the load that should begin next, apart from those that cannot. */
    Optional<Waiting> next(Collection<Waiting> unplaceable) {
        return waiting.values().stream()
                .filter(entry -> !unplaceable.contains(entry))
                .min(isTurnOfOldest() ? BY_AGE : BY_URGENCY);
    }

    /** Returns all loads that are waited for, the most urgent first. */
    List<Waiting> inOrder() {
        return waiting.values().stream().sorted(BY_URGENCY).toList();
    }

    /** Removes a load that begins; the caller grants it to those that wait. */
    void removeServed(Waiting entry) {
        served++;
        waiting.remove(entry.load);
    }

    /**
     * Removes and returns the requests whose turn comes too late.
     *
     * @param millisFor time in which the store serves a number of loads
     */
    List<Waiter> pollHopeless(IntToLongFunction millisFor, long nowNanos) {
        final List<Waiter> hopeless = new ArrayList<>();
        int before = 0;
        for (final Waiting entry : inOrder()) {
            final long turnNanos =
                    nowNanos + TimeUnit.MILLISECONDS.toNanos(millisFor.applyAsLong(before));
            entry.waiters.removeIf(
                    waiter -> {
                        final boolean late = turnNanos - waiter.untilNanos > 0;
                        if (late) {
                            hopeless.add(waiter);
                        }
                        return late;
                    });
            if (entry.waiters.isEmpty()) {
                waiting.remove(entry.load);
            } else {
                before++;
            }
        }
        return hopeless;
    }

    /** One request that waits. */
    static final class Waiter {
        private final AdapterRequest request;
        private final long sinceNanos;
        private final long untilNanos;
        private final CompletableFuture<AdapterGrant> grant = new CompletableFuture<>();

        private Waiter(AdapterRequest request, long nowNanos) {
            this.request = request;
            this.sinceNanos = nowNanos;
            this.untilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(request.patienceMillis());
        }

        AdapterRequest request() {
            return request;
        }

        void complete(AdapterGrant answer) {
            grant.complete(answer);
        }
    }

    /** The requests that wait for one load. */
    static final class Waiting {
        private final AdapterRequest load;
        private final OptionalLong overdueSince;
        private final List<Waiter> waiters = new ArrayList<>();

        private Waiting(AdapterRequest load, OptionalLong overdueSince) {
            this.load = load;
            this.overdueSince = overdueSince;
        }

        /** Returns the request that the load serves. */
        AdapterRequest request() {
            return load;
        }

        private int priority() {
            return waiters.stream().mapToInt(waiter -> waiter.request.priority()).min().orElse(0);
        }

        /** Returns since when its adapter was refused; the last of all if not for long. */
        private long overdueSinceNanos() {
            return overdueSince.orElse(Long.MAX_VALUE);
        }

        private int count() {
            return waiters.size();
        }

        private long sinceNanos() {
            return waiters.get(0).sinceNanos;
        }

        /** Returns for how long its first request has waited, in milliseconds. */
        long waitedMillis(long nowNanos) {
            return TimeUnit.NANOSECONDS.toMillis(nowNanos - sinceNanos());
        }

        /** Answers all requests alike. */
        void complete(AdapterGrant grant) {
            waiters.forEach(waiting -> waiting.complete(grant));
        }
    }
}
