package org.crocushaven.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Ejects backend servers that fail repeatedly and restores them gradually.
 *
 * <p>The length of the ejection grows with each one, up to a maximum. At most half of the backend
 * servers are ejected at the same time. After an ejection the weight of the server grows linearly
 * during the slow start. Not thread-safe.
 */
public final class OutlierEjection {
    private static final int FAILURES_TO_EJECT = 5;
    private static final long BASE_EJECTION_NANOS = 1_000_000_000L;
    private static final long MAXIMUM_EJECTION_NANOS = 30_000_000_000L;
    private static final long SLOW_START_NANOS = 5_000_000_000L;
    private static final double MINIMUM_WEIGHT = 0.1;

    private final Map<String, ServerState> states = new HashMap<>();

    private OutlierEjection() {}

    /** Returns an outlier ejection without recorded failures. */
    public static OutlierEjection create() {
        return new OutlierEjection();
    }

    /** Records a success, which resets the count of consecutive failures. */
    public void recordSuccess(String backendServer) {
        final ServerState state = states.get(backendServer);
        if (state != null) {
            state.failures = 0;
        }
    }

    /** Records a failure and returns whether it causes the ejection of the backend server. */
    public boolean recordFailure(String backendServer, int backendServerCount, long nowNanos) {
        final ServerState state = states.computeIfAbsent(backendServer, name -> new ServerState());
        state.failures++;
        final boolean ejecting =
                state.failures >= FAILURES_TO_EJECT
                        && !state.isEjected(nowNanos)
                        && ejectedCount(nowNanos) < backendServerCount / 2;
        if (ejecting) {
            state.failures = 0;
            state.ejections++;
            state.weightLimited = true;
            state.ejectedUntilNanos =
                    nowNanos
                            + Math.min(
                                    MAXIMUM_EJECTION_NANOS, BASE_EJECTION_NANOS * state.ejections);
        }
        return ejecting;
    }

    /** Records a start or restart of a backend server, from which its slow start begins. */
    public void recordStart(String backendServer, long nowNanos) {
        final ServerState state = states.computeIfAbsent(backendServer, name -> new ServerState());
        state.failures = 0;
        state.weightLimited = true;
        state.ejectedUntilNanos = nowNanos;
    }

    /** Returns the weight of a backend server: 0 while it is ejected, at most 1. */
    public double weight(String backendServer, long nowNanos) {
        final ServerState state = states.get(backendServer);
        if (state == null || !state.weightLimited) {
            return 1;
        }
        if (state.isEjected(nowNanos)) {
            return 0;
        }
        final double slowStartWeight =
                (double) (nowNanos - state.ejectedUntilNanos) / SLOW_START_NANOS;
        return Math.max(MINIMUM_WEIGHT, Math.min(1, slowStartWeight));
    }

    /** Removes a backend server that has left. */
    public void remove(String backendServer) {
        states.remove(backendServer);
    }

    private long ejectedCount(long nowNanos) {
        return states.values().stream().filter(state -> state.isEjected(nowNanos)).count();
    }

    private static final class ServerState {
        private int failures;
        private int ejections;
        private boolean weightLimited;
        private long ejectedUntilNanos;

        private boolean isEjected(long nowNanos) {
            return weightLimited && nowNanos - ejectedUntilNanos < 0;
        }
    }
}
