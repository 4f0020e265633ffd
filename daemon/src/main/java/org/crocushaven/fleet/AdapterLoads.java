package org.crocushaven.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.observability.EventLine;

/**
 * Orders the loads that the planner has chosen, with the unloads they need, and updates the
 * planner's view of the engines with the answers. Used on one event loop only.
 */
final class AdapterLoads {
    private final AdapterPlanner planner;
    private final EngineOrderQueues queues;
    private final NanoClock clock;

    /** Loads whose orders the engines have not answered. */
    private final Map<LoadPlace, CompletableFuture<OrderOutcome>> unanswered = new HashMap<>();

    AdapterLoads(AdapterPlanner planner, EngineOrderQueues queues, NanoClock clock) {
        this.planner = planner;
        this.queues = queues;
        this.clock = clock;
    }

    /** Returns the outcome of a load's order if the engine has not answered it yet. */
    Optional<CompletableFuture<OrderOutcome>> unanswered(String backend, AdapterKey key) {
        return Optional.ofNullable(unanswered.get(new LoadPlace(backend, key)));
    }

    /**
     * Unloads the evicted adapter, if any, and orders the load once the engine has answered the
     * unload with {@link OrderOutcome#HOLDS}. The returned future never fails.
     *
     * @param waitedMillis time for which requests have waited for the load to begin
     */
    CompletableFuture<OrderOutcome> load(AdapterPlacement chosen, long waitedMillis) {
        return loadFor(chosen, new Reason(true, waitedMillis));
    }

    /** Does the same for a load that no request waits for. */
    CompletableFuture<OrderOutcome> loadAhead(AdapterPlacement chosen) {
        return loadFor(chosen, new Reason(false, 0));
    }

    private CompletableFuture<OrderOutcome> loadFor(AdapterPlacement chosen, Reason reason) {
        final LoadPlace place = new LoadPlace(chosen.backend(), chosen.key());
        final long orderedNanos = clock.nanoTime();
        planner.commit(chosen, orderedNanos);
        final CompletableFuture<OrderOutcome> answered = new CompletableFuture<>();
        unanswered.put(place, answered);
        makeRoom(chosen)
                .thenCompose(room -> order(chosen, room, orderedNanos, reason))
                .whenComplete(
                        (outcome, failure) -> {
                            // Those that wait for the answer may ask for the adapter again at once.
                            unanswered.remove(place, answered);
                            answered.complete(failure == null ? outcome : OrderOutcome.REFUSED);
                        });
        return answered;
    }

    private CompletableFuture<OrderOutcome> makeRoom(AdapterPlacement chosen) {
        if (chosen.evicted().isEmpty()) {
            return CompletableFuture.completedFuture(OrderOutcome.HOLDS);
        }
        final AdapterKey evicted = chosen.evicted().get();
        return queues.of(chosen.backend())
                .submit(EngineOrder.unload(evicted.model(), evicted.adapter()))
                .whenComplete((outcome, failure) -> makeRoomAnswered(chosen, evicted, outcome));
    }

    private void makeRoomAnswered(
            AdapterPlacement chosen, AdapterKey evicted, OrderOutcome outcome) {
        noteFailure(chosen, outcome);
        planner.slotsOf(chosen.backend())
                .ifPresent(slots -> unloadAnswered(slots, evicted, outcome));
    }

    private void noteFailure(AdapterPlacement chosen, OrderOutcome outcome) {
        if (outcome == OrderOutcome.UNKNOWN || outcome == OrderOutcome.REFUSED) {
            planner.orderFailed(chosen, clock.nanoTime());
        }
    }

    private CompletableFuture<OrderOutcome> order(
            AdapterPlacement chosen, OrderOutcome room, long orderedNanos, Reason reason) {
        if (room != OrderOutcome.HOLDS) {
            planner.notLoaded(chosen);
            planner.slotsOf(chosen.backend()).ifPresent(slots -> slots.release(chosen.key()));
            return CompletableFuture.completedFuture(OrderOutcome.REFUSED);
        }
        final OptionalLong version =
                chosen.version() > 0 ? OptionalLong.of(chosen.version()) : OptionalLong.empty();
        return queues.of(chosen.backend())
                .submit(EngineOrder.load(chosen.key().model(), chosen.key().adapter(), version))
                .whenComplete(
                        (outcome, failure) -> loadAnswered(chosen, outcome, orderedNanos, reason));
    }

    private static void unloadAnswered(
            EngineSlots slots, AdapterKey evicted, OrderOutcome outcome) {
        switch (outcome) {
            case HOLDS -> slots.unloaded(evicted);
            case UNKNOWN -> slots.find(evicted).ifPresent(EngineSlots.Slot::markOutcomeUnknown);
            case CONFLICT, REFUSED -> {
                slots.find(evicted).ifPresent(EngineSlots.Slot::cancelUnloading);
                slots.markUnverified();
            }
            default -> slots.markUnverified();
        }
    }

    private void loadAnswered(
            AdapterPlacement chosen, OrderOutcome outcome, long orderedNanos, Reason reason) {
        final long nowNanos = clock.nanoTime();
        noteFailure(chosen, outcome);
        planner.slotsOf(chosen.backend())
                .ifPresent(slots -> loadAnswered(slots, chosen, outcome, nowNanos));
        if (outcome == OrderOutcome.ACCEPTED) {
            planner.accepted(chosen, reason.isAwaited(), nowNanos);
            EventLine.of("adapter-loading")
                    .with("backend", chosen.backend())
                    .with("adapter", chosen.key().adapter())
                    .with("version", chosen.version())
                    .with("victim", chosen.evicted().map(AdapterKey::adapter).orElse("-"))
                    .with("awaited", reason.isAwaited())
                    .with("turn_ms", reason.waitedMillis())
                    .with("load_ms", chosen.readyInMillis())
                    .with("order_ms", TimeUnit.NANOSECONDS.toMillis(nowNanos - orderedNanos))
                    .info();
        } else {
            planner.notLoaded(chosen);
        }
    }

    private static void loadAnswered(
            EngineSlots slots, AdapterPlacement chosen, OrderOutcome outcome, long nowNanos) {
        final Optional<EngineSlots.Slot> slot = slots.find(chosen.key());
        switch (outcome) {
            case ACCEPTED -> slot.ifPresent(reserved -> loadAccepted(reserved, chosen, nowNanos));
            case HOLDS -> slot.ifPresent(reserved -> reserved.acceptedUntil(nowNanos));
            case UNKNOWN -> slot.ifPresent(EngineSlots.Slot::markOutcomeUnknown);
            default -> {
                // The engine may still hold an older version of the adapter.
                slots.release(chosen.key());
                slots.markUnverified();
            }
        }
    }

    private static void loadAccepted(
            EngineSlots.Slot slot, AdapterPlacement chosen, long nowNanos) {
        slot.acceptedUntil(nowNanos + TimeUnit.MILLISECONDS.toNanos(chosen.readyInMillis()));
    }

    /**
     * Why an adapter is loaded.
     *
     * @param isAwaited whether requests wait for it
     * @param waitedMillis time for which they have waited for the load to begin
     */
    private record Reason(boolean isAwaited, long waitedMillis) {}
}
