package org.crocushaven.forwarding;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * How often backend servers failed this gateway lately.
 *
 * <p>Answers failures that health checks do not show. Not thread-safe.
 */
final class BackendHealth {
    private static final double HALF_LIFE_NANOS = 3e9;
    private static final double SUCCESS_FACTOR = 0.7;
    private static final double LARGEST = 8;

    private final Map<String, Score> scores = new HashMap<>();

    /**
     * Counts a failure.
     *
     * @param weight 1 for a failed request, more for a sign that nothing works
     */
    void failed(String backend, double weight, long nowNanos) {
        final Score score = scores.computeIfAbsent(backend, id -> new Score());
        score.value = Math.min(LARGEST, score.at(nowNanos) + weight);
        score.updatedNanos = nowNanos;
    }

    /** Counts a success. */
    void succeeded(String backend, long nowNanos) {
        final Score score = scores.get(backend);
        if (score != null) {
            score.value = score.at(nowNanos) * SUCCESS_FACTOR;
            score.updatedNanos = nowNanos;
        }
    }

    /** Returns recent failures, decayed; 0 for none. */
    double failures(String backend, long nowNanos) {
        final Score score = scores.get(backend);
        return score == null ? 0 : score.at(nowNanos);
    }

    /** Forgets all but the given backend servers. */
    void retain(Set<String> backends) {
        scores.keySet().retainAll(backends);
    }

    private static final class Score {
        private double value;
        private long updatedNanos;

        private double at(long nowNanos) {
            return value * Math.pow(2, (updatedNanos - nowNanos) / HALF_LIFE_NANOS);
        }
    }
}
