package org.crocushaven.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Spaces base model loads, so that they stay below the weight store's rate over any interval of a
 * few seconds.
 *
 * <p>Not thread-safe.
 */
final class ModelLoadLimiter {
    /** Fraction of the store's rate that is used. */
    private static final double USED_FRACTION = 0.8;

    /** Time after which a load is ordered again for an engine that still holds no model. */
    private static final long RETRY_NANOS = TimeUnit.SECONDS.toNanos(6);

    private final Map<String, Long> lastOrderNanos = new HashMap<>();
    private long nextNanos;
    private boolean started;

    /**
     * Returns whether a load may start now, and counts it if so.
     *
     * @param loadsPerSecond rate of the weight store
     */
    boolean tryLoad(String backend, double loadsPerSecond, long nowNanos) {
        final Long last = lastOrderNanos.get(backend);
        if (loadsPerSecond <= 0
                || last != null && nowNanos - last < RETRY_NANOS
                || started && nowNanos - nextNanos < 0) {
            return false;
        }
        started = true;
        lastOrderNanos.put(backend, nowNanos);
        nextNanos =
                nowNanos + (long) (TimeUnit.SECONDS.toNanos(1) / (loadsPerSecond * USED_FRACTION));
        return true;
    }
}
