package org.crocushaven.forwarding;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.crocushaven.fleet.Relay;

/**
 * Knows the gateways that can take requests over, and chooses the one with the fewest of this
 * gateway's. Not thread-safe.
 */
final class Relays {
    /** Time for which a relay that failed is not used where another one can be. */
    private static final long FAILED_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Map<String, Integer> requests = new HashMap<>();
    private final Map<String, Long> failedNanos = new HashMap<>();
    private List<Relay> known = List.of();

    /** Replaces what is known by what the leader tells. */
    void apply(List<Relay> relays) {
        known = List.copyOf(relays);
    }

    /**
     * Returns a relay for a request; empty if there is none.
     *
     * @param tried names of the relays that did not take the request
     * @param mayHaveBody whether the body of the request may be sent to a relay
     */
    Optional<Relay> choose(
            String service, Collection<String> tried, Predicate<Relay> mayHaveBody, long nowNanos) {
        return known.stream()
                .filter(relay -> !tried.contains(relay.gateway()))
                .filter(relay -> !relay.unreachable().contains(service))
                .filter(mayHaveBody)
                .min(
                        Comparator.comparing((Relay relay) -> failedLately(relay, nowNanos))
                                .thenComparingInt(
                                        relay -> requests.getOrDefault(relay.gateway(), 0)));
    }

    private boolean failedLately(Relay relay, long nowNanos) {
        final Long failed = failedNanos.get(relay.gateway());
        return failed != null && nowNanos - failed < FAILED_NANOS;
    }

    void requestStarted(Relay relay) {
        requests.merge(relay.gateway(), 1, Integer::sum);
    }

    void requestEnded(Relay relay) {
        requests.computeIfPresent(
                relay.gateway(), (gateway, count) -> count > 1 ? count - 1 : null);
    }

    /** Records that a relay was not reached, or broke an answer off. */
    void failed(Relay relay, long nowNanos) {
        failedNanos.values().removeIf(failed -> nowNanos - failed >= FAILED_NANOS);
        failedNanos.put(relay.gateway(), nowNanos);
    }
}
