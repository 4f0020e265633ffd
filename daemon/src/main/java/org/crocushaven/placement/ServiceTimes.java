package org.crocushaven.placement;

/** Exponential moving averages of the durations of loads and requests. Not thread-safe. */
final class ServiceTimes {
    private static final double NEW_SAMPLE_WEIGHT = 0.1;

    private double serviceNanos;
    private double loadWaitNanos;

    ServiceTimes(DispatcherSettings settings) {
        this.serviceNanos = settings.expectedServiceNanos();
        this.loadWaitNanos = settings.expectedLoadNanos();
    }

    void recordServiceTime(long nanos) {
        serviceNanos += NEW_SAMPLE_WEIGHT * (nanos - serviceNanos);
    }

    /** Records the time from the first request to the load budget to the confirmed load. */
    void recordLoadWait(long nanos) {
        loadWaitNanos += NEW_SAMPLE_WEIGHT * (nanos - loadWaitNanos);
    }

    long serviceNanos() {
        return (long) serviceNanos;
    }

    long loadWaitNanos() {
        return (long) loadWaitNanos;
    }
}
