package org.crocushaven.admission;

/**
 * How urgent a request is, and for how long it may wait before an adapter's load begins.
 *
 * @param priority priority; 0 is the highest
 * @param patienceMillis time that it may wait; 0 if a load would end too late for it
 */
public record Urgency(int priority, long patienceMillis) {
    /** Time for a load and the first event after it, in milliseconds. */
    private static final long SERVICE_MILLIS = 360;

    /** Shortest patience of a request whose deadline leaves time for a load. */
    private static final long MINIMUM_PATIENCE_MILLIS = 120;

    /** Longest patience within the latency objective. */
    private static final long MAXIMUM_PATIENCE_MILLIS = 1_500;

    /** Longest patience after the latency objective. */
    private static final long LATE_PATIENCE_MILLIS = 1_000;

    /** Part of the remaining time that a late request may wait. */
    private static final long LATE_DIVISOR = 3;

    /**
     * Returns the urgency of a request.
     *
     * @param objectiveMillis latency objective
     * @param elapsedMillis time since it arrived
     * @param remainingMillis time until its deadline
     */
    public static Urgency of(
            int priority, long objectiveMillis, long elapsedMillis, long remainingMillis) {
        return new Urgency(priority, patience(objectiveMillis, elapsedMillis, remainingMillis));
    }

    private static long patience(long objectiveMillis, long elapsedMillis, long remainingMillis) {
        final long untilDeadline = remainingMillis - SERVICE_MILLIS;
        if (untilDeadline <= 0) {
            return 0;
        }
        final long untilObjective = objectiveMillis - elapsedMillis - SERVICE_MILLIS;
        final long wished =
                elapsedMillis < objectiveMillis
                        ? Math.min(MAXIMUM_PATIENCE_MILLIS, untilObjective)
                        : Math.min(LATE_PATIENCE_MILLIS, remainingMillis / LATE_DIVISOR);
        return Math.min(untilDeadline, Math.max(MINIMUM_PATIENCE_MILLIS, wished));
    }
}
