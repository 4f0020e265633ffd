package org.crocushaven.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.NanoClock;

/**
 * Answers gateways' requests for adapters: at once where an engine holds the adapter or loads it,
 * else when its load has begun, or with a refusal as soon as it is known that it will not begin in
 * time.
 *
 * <p>Requests that wait for one load learn the outcome of its order. Used on one event loop only.
 */
final class AdapterGrants {
    /** Interval at which waiting requests are looked at. */
    private static final long PASS_MILLIS = 20;

    /** Engines that are tried after the first one for one request. */
    private static final int MAXIMUM_FALLBACKS = 2;

    /** Loads without a place that are passed over at a time, so that others are not held up. */
    private static final int MAXIMUM_UNPLACEABLE = 4;

    /**
     * Longest time for which an adapter that was loaded ahead is kept for its next caller: the time
     * in which nobody who asks steadily may go without.
     */
    private static final long LONGEST_KEPT_NANOS = TimeUnit.SECONDS.toNanos(8);

    private final AdapterPlanner planner;
    private final AdapterLoads loads;
    private final DelayedTasks tasks;
    private final NanoClock clock;
    private final long ordersFromNanos;
    private final AdapterQueue queue = new AdapterQueue();
    private final AdapterWishes wishes = new AdapterWishes();
    private final AdapterRefusals refusals;
    private boolean passScheduled;
    private boolean closed;

    /**
     * Creates the grants of a leader.
     *
     * @param ordersFromNanos time before which no orders are sent
     */
    AdapterGrants(
            AdapterPlanner planner,
            AdapterLoads loads,
            DelayedTasks tasks,
            NanoClock clock,
            long ordersFromNanos) {
        this.planner = planner;
        this.loads = loads;
        this.tasks = tasks;
        this.clock = clock;
        this.ordersFromNanos = ordersFromNanos;
        this.refusals = new AdapterRefusals(planner, wishes, clock);
    }

    /** Finds an engine that holds an adapter, or loads the adapter on one. */
    CompletableFuture<AdapterGrant> request(AdapterRequest request) {
        if (!request.missingAt().isEmpty()) {
            planner.missing(request.missingAt(), request.key(), clock.nanoTime());
        }
        return place(request, MAXIMUM_FALLBACKS);
    }

    /** Loads adapters that callers were refused for long, while the store has room. */
    void tick() {
        if (!closed && queue.size() == 0 && wishes.size() > 0) {
            pass();
        }
    }

    /** Refuses what waits, and loads nothing more. */
    void close() {
        closed = true;
        queue.inOrder().forEach(entry -> entry.complete(refusal(entry.request(), "leader-ended")));
    }

    private CompletableFuture<AdapterGrant> place(AdapterRequest request, int fallbacksLeft) {
        final long nowNanos = clock.nanoTime();
        final Optional<AdapterPlacement> existing = planner.existing(request, nowNanos);
        if (existing.isPresent()) {
            return grantExisting(existing.get(), request, fallbacksLeft);
        }
        if (nowNanos - ordersFromNanos < 0) {
            return refused(request, "no-orders-yet");
        }
        // A request whose load was not accepted has had its turn, and keeps it.
        final boolean hadTurn = fallbacksLeft < MAXIMUM_FALLBACKS;
        final Optional<AdapterPlacement> chosen =
                planner.load(request, nowNanos)
                        .filter(found -> hadTurn || mayLoadNow(found, request));
        if (chosen.isPresent()) {
            return load(chosen.get(), request, 0, fallbacksLeft);
        }
        final OptionalLong overdueSince = wishes.overdueSince(request.key(), nowNanos);
        if (closed || !queue.holds(request) && !mayGetTurn(request, overdueSince)) {
            return refused(request, "store-busy");
        }
        schedulePass();
        return queue.add(request, overdueSince, nowNanos);
    }

    /**
     * Returns whether a load takes nobody's turn: no other one waits, or the engine has the adapter
     * in its own memory.
     */
    private boolean mayLoadNow(AdapterPlacement found, AdapterRequest request) {
        return found.fromMemory() || queue.size() == 0 || queue.holds(request);
    }

    /** Returns whether a load for a request would begin before its patience ends. */
    private boolean mayGetTurn(AdapterRequest request, OptionalLong overdueSince) {
        final int before = queue.countBefore(request.priority(), overdueSince);
        return !queue.isFull() && planner.storeMillisFor(before + 1) <= request.patienceMillis();
    }

    /** Grants an adapter that an engine has, or will have if it accepts the order to load it. */
    private CompletableFuture<AdapterGrant> grantExisting(
            AdapterPlacement existing, AdapterRequest request, int fallbacksLeft) {
        return loads.unanswered(existing.backend(), existing.key())
                .map(order -> order.thenCompose(any -> placeAgain(request, fallbacksLeft)))
                .orElseGet(
                        () -> {
                            wishes.fulfilled(existing.key());
                            return CompletableFuture.completedFuture(grantOf(existing));
                        });
    }

    private CompletableFuture<AdapterGrant> placeAgain(AdapterRequest request, int fallbacksLeft) {
        return fallbacksLeft > 0
                ? place(request, fallbacksLeft - 1)
                : refused(request, "order-not-accepted");
    }

    private CompletableFuture<AdapterGrant> load(
            AdapterPlacement chosen, AdapterRequest request, long waitedMillis, int fallbacksLeft) {
        return loads.load(chosen, waitedMillis)
                .whenComplete((outcome, failure) -> loadAnswered(chosen.key(), outcome))
                .thenCompose(
                        outcome ->
                                switch (outcome) {
                                    case ACCEPTED ->
                                            CompletableFuture.completedFuture(grantOf(chosen));
                                    case HOLDS ->
                                            CompletableFuture.completedFuture(
                                                    new AdapterGrant(
                                                            chosen.backend(), 0, chosen.version()));
                                    default ->
                                            fallbacksLeft > 0
                                                    ? place(
                                                            request.excluding(chosen.backend()),
                                                            fallbacksLeft - 1)
                                                    : refused(request, "order-" + outcome);
                                });
    }

    private void loadAnswered(AdapterKey key, OrderOutcome outcome) {
        if (outcome == OrderOutcome.ACCEPTED || outcome == OrderOutcome.HOLDS) {
            wishes.fulfilled(key);
        }
    }

    private static AdapterGrant grantOf(AdapterPlacement placement) {
        return new AdapterGrant(
                placement.backend(), placement.readyInMillis(), placement.version());
    }

    private void schedulePass() {
        if (!passScheduled && !closed) {
            passScheduled = true;
            tasks.runAfter(PASS_MILLIS, this::passAndSchedule);
        }
    }

    private void passAndSchedule() {
        passScheduled = false;
        pass();
        if (queue.size() > 0) {
            schedulePass();
        }
    }

    /** Loads what waits while the store has room, and refuses what will not get its turn. */
    private void pass() {
        final List<AdapterQueue.Waiting> unplaceable = new ArrayList<>();
        final Set<AdapterKey> tried = new HashSet<>();
        Optional<AdapterQueue.Waiting> next = queue.next(unplaceable);
        while (unplaceable.size() < MAXIMUM_UNPLACEABLE && planner.storeHasRoom(clock.nanoTime())) {
            final Optional<AdapterWishes.Wish> wish = absentWish(tried);
            if (wish.isPresent()) {
                tried.add(wish.get().request().key());
                loadAhead(wish.get());
            } else if (next.isEmpty()) {
                break;
            } else if (!tryServe(next.get())) {
                unplaceable.add(next.get());
            }
            next = queue.next(unplaceable);
        }
        queue.pollHopeless(planner::storeMillisFor, clock.nanoTime())
                .forEach(waiter -> waiter.complete(refusal(waiter.request(), "no-place")));
    }

    /**
     * Returns the wish that is overdue for longest, unless a request waits for its adapter; empty
     * if it is not its turn, or if enough were tried in this pass.
     */
    private Optional<AdapterWishes.Wish> absentWish(Set<AdapterKey> tried) {
        if (closed || tried.size() >= MAXIMUM_UNPLACEABLE || !queue.isTurnOfRefused()) {
            return Optional.empty();
        }
        return wishes.oldestOverdue(tried, clock.nanoTime())
                .filter(wish -> !queue.holdsAny(wish.request().key()));
    }

    /** Loads an adapter that callers were refused for long; without a place it waits anew. */
    private void loadAhead(AdapterWishes.Wish wish) {
        final AdapterRequest request = wish.request();
        final long nowNanos = clock.nanoTime();
        queue.turnTaken();
        if (planner.existing(request, nowNanos).isPresent()) {
            return;
        }
        final Optional<AdapterPlacement> chosen = planner.load(request, nowNanos);
        if (chosen.isEmpty()) {
            wishes.waitAnew(request.key(), nowNanos);
            return;
        }
        loads.loadAhead(chosen.get()).thenAccept(outcome -> loadAnswered(request.key(), outcome));
        planner.keep(chosen.get(), keptUntilNanos(wish, chosen.get(), nowNanos));
    }

    private static long keptUntilNanos(
            AdapterWishes.Wish wish, AdapterPlacement placement, long nowNanos) {
        return nowNanos
                + TimeUnit.MILLISECONDS.toNanos(placement.readyInMillis())
                + Math.min(LONGEST_KEPT_NANOS, wish.returnNanos());
    }

    /** Loads the adapter of an entry, or grants it; returns whether an engine had a place. */
    private boolean tryServe(AdapterQueue.Waiting entry) {
        final AdapterRequest request = entry.request();
        final long nowNanos = clock.nanoTime();
        final Optional<AdapterPlacement> existing = planner.existing(request, nowNanos);
        final Optional<AdapterPlacement> chosen =
                existing.isPresent() ? existing : planner.load(request, nowNanos);
        if (chosen.isEmpty()) {
            return false;
        }
        queue.removeServed(entry);
        final CompletableFuture<AdapterGrant> grant =
                existing.isPresent()
                        ? grantExisting(chosen.get(), request, MAXIMUM_FALLBACKS)
                        : load(
                                chosen.get(),
                                request,
                                entry.waitedMillis(nowNanos),
                                MAXIMUM_FALLBACKS);
        grant.thenAccept(entry::complete);
        return true;
    }

    private CompletableFuture<AdapterGrant> refused(AdapterRequest request, String reason) {
        return CompletableFuture.completedFuture(refusal(request, reason));
    }

    private AdapterGrant refusal(AdapterRequest request, String reason) {
        return refusals.refuse(request, reason, queue.size());
    }
}
