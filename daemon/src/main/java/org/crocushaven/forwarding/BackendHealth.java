package org.crocushaven.forwarding;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.crocushaven.fleet.BackendRecord;
import org.crocushaven.fleet.DecayingCount;

/**
 * Counts recent failures of backend servers as seen by this gateway.
 *
 * <p>Detects failures that health checks do not show. Not thread-safe.
 */
final class BackendHealth {
    private static final double HALF_LIFE_NANOS = 3e9;
    private static final double SUCCESS_FACTOR = 0.7;
    private static final double MAXIMUM_SCORE = 8;

    private final Map<String, DecayingCount> scores = new HashMap<>();
    private Map<String, Long> starts = Map.of();

    /**
     * Counts a failure.
     *
     * @param weight 1 for a failed request, more for a sign that the backend server does not work
     *     at all
     */
    void recordFailure(String backend, double weight, long nowNanos) {
        final DecayingCount score =
                scores.computeIfAbsent(backend, id -> DecayingCount.withHalfLife(HALF_LIFE_NANOS));
        score.set(Math.min(MAXIMUM_SCORE, score.at(nowNanos) + weight), nowNanos);
    }

    /** Counts a success. */
    void recordSuccess(String backend, long nowNanos) {
        final DecayingCount score = scores.get(backend);
        if (score != null) {
            score.set(score.at(nowNanos) * SUCCESS_FACTOR, nowNanos);
        }
    }

    /** Returns the number of recent failures, decayed over time; 0 when there are none. */
    double failures(String backend, long nowNanos) {
        final DecayingCount score = scores.get(backend);
        return score == null ? 0 : score.at(nowNanos);
    }

    /** Removes the counts of all but the given starts of backend servers. */
    void retain(Collection<BackendRecord> records) {
        final Map<String, Long> current = new HashMap<>();
        records.forEach(record -> current.put(record.backend(), record.startedMillis()));
        scores.keySet()
                .removeIf(
                        backend ->
                                !current.containsKey(backend)
                                        || !current.get(backend).equals(starts.get(backend)));
        starts = current;
    }
}
