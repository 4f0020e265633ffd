package org.crocushaven.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Paces loads of base models, so that the weight store's rate is kept over any few seconds.
 *
 * <p>Not thread-safe.
 */
final class ModelLoadPace {
    /** Part of the store's rate that is used. */
    private static final double USED_PART = 0.8;

    /** Time after which an engine that still holds no model is ordered once more. */
    private static final long AGAIN_NANOS = TimeUnit.SECONDS.toNanos(6);

    private final Map<String, Long> ordered = new HashMap<>();
    private long nextNanos;
    private boolean started;

    /**
     * Returns whether a load may begin now, and counts it.
     *
     * @param loadsPerSecond rate of the weight store
     */
    boolean tryLoad(String backend, double loadsPerSecond, long nowNanos) {
        final Long last = ordered.get(backend);
        if (loadsPerSecond <= 0
                || last != null && nowNanos - last < AGAIN_NANOS
                || started && nowNanos - nextNanos < 0) {
            return false;
        }
        started = true;
        ordered.put(backend, nowNanos);
        nextNanos = nowNanos + (long) (TimeUnit.SECONDS.toNanos(1) / (loadsPerSecond * USED_PART));
        return true;
    }
}
