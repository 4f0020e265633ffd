package org.crocushaven.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * Commits the departures of backend servers to the replicated state before they are acknowledged,
 * so that every later leader knows them.
 *
 * <p>One command is proposed at a time; departures that are announced meanwhile share the next one,
 * since whole failure domains leave at once. Used on one event loop only.
 */
final class DepartureLog {
    /** Maximum number of departures in one command, far below the maximum size of a command. */
    private static final int MAXIMUM_BATCH = 500;

    private final FleetState state;
    private final Function<FleetCommand, CompletableFuture<Void>> proposer;
    private final Map<BackendAnnouncement, CompletableFuture<Void>> waiting = new LinkedHashMap<>();
    private boolean proposing;

    /**
     * Creates a log.
     *
     * @param proposer proposes a command; the future completes on the event loop
     */
    DepartureLog(FleetState state, Function<FleetCommand, CompletableFuture<Void>> proposer) {
        this.state = state;
        this.proposer = proposer;
    }

    /** Commits a departure; completes when it may be acknowledged. */
    CompletableFuture<Void> commit(BackendAnnouncement departure) {
        if (state.knowsDeparture(departure)) {
            return CompletableFuture.completedFuture(null);
        }
        final CompletableFuture<Void> committed =
                waiting.computeIfAbsent(departure, added -> new CompletableFuture<>());
        proposeNext();
        return committed;
    }

    /** Removes the departures of backend servers that are forgotten or have started again. */
    void forgetObsolete(BackendRegistry registry) {
        if (proposing) {
            return;
        }
        final List<BackendAnnouncement> obsolete =
                state.departures().stream()
                        .filter(departure -> isObsolete(departure, registry))
                        .limit(MAXIMUM_BATCH)
                        .toList();
        if (!obsolete.isEmpty()) {
            propose(FleetCommand.departures(List.of(), obsolete), List.of());
        }
    }

    private static boolean isObsolete(BackendAnnouncement departure, BackendRegistry registry) {
        return registry.find(departure.backend())
                .filter(known -> known.startedMillis() <= departure.startedMillis())
                .isEmpty();
    }

    private void proposeNext() {
        if (proposing || waiting.isEmpty()) {
            return;
        }
        final List<BackendAnnouncement> batch =
                waiting.keySet().stream().limit(MAXIMUM_BATCH).toList();
        final List<CompletableFuture<Void>> futures = new ArrayList<>();
        batch.forEach(departure -> futures.add(waiting.remove(departure)));
        propose(FleetCommand.departures(batch, List.of()), futures);
    }

    private void propose(FleetCommand command, List<CompletableFuture<Void>> futures) {
        proposing = true;
        proposer.apply(command)
                .whenComplete(
                        (done, failure) -> {
                            proposing = false;
                            for (final CompletableFuture<Void> future : futures) {
                                if (failure == null) {
                                    future.complete(null);
                                } else {
                                    future.completeExceptionally(failure);
                                }
                            }
                            proposeNext();
                        });
    }
}
