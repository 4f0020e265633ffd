package org.crocushaven.forwarding;

import java.util.concurrent.TimeUnit;

/** Measures the longest pause between two events of a stream as received by this gateway. */
final class PauseMeter {
    private boolean eventSeen;
    private long lastNanos;
    private long longestNanos;

    /** Records the arrival of one or more events. */
    void recordEvent(long nowNanos) {
        if (eventSeen) {
            longestNanos = Math.max(longestNanos, nowNanos - lastNanos);
        }
        eventSeen = true;
        lastNanos = nowNanos;
    }

    /** Returns the longest pause in milliseconds; 0 before the second event. */
    long longestMillis() {
        return TimeUnit.NANOSECONDS.toMillis(longestNanos);
    }
}
