package org.crocushaven.forwarding;

import org.crocushaven.ingress.IngressRoute;

/**
 * Decides for how long a backend server may be silent before another one is sent the request too.
 *
 * <p>Before the first event the limit follows the latency objective. Within a stream it follows the
 * pause after which clients abandon a stream, so that a backend server that pauses for about a
 * second is not replaced, and one that is gone is replaced while its client still waits.
 */
final class SilenceLimits {
    private static final double LIMIT_PER_OBJECTIVE = 1.5;
    private static final double MINIMUM_LIMIT_PER_PAUSE = 3;

    /** Part of the client's patience after which a replacement is sent; it needs the rest. */
    private static final double LIMIT_PER_PATIENCE = 0.6;

    private static final long MINIMUM_PATIENCE_MILLIS = 2_000;
    private static final long PATIENCE_PER_OBJECTIVE = 4;
    private static final long PATIENCE_PER_PAUSE = 8;

    private SilenceLimits() {}

    /** Returns the limit, in milliseconds, before the first event or the complete answer. */
    static long beforeAnswerMillis(IngressRoute route) {
        return (long) (route.objectiveMillis() * LIMIT_PER_OBJECTIVE);
    }

    /**
     * Returns the limit, in milliseconds, between two events of a stream; half of the remaining
     * time if that is shorter.
     */
    static long withinStreamMillis(IngressRoute route, long remainingMillis) {
        final double limit =
                Math.min(patienceMillis(route) * LIMIT_PER_PATIENCE, remainingMillis / 2.0);
        return (long) Math.max(limit, route.pauseMillis() * MINIMUM_LIMIT_PER_PAUSE);
    }

    /** Returns the pause, in milliseconds, after which a client abandons a stream. */
    private static long patienceMillis(IngressRoute route) {
        return Math.max(
                MINIMUM_PATIENCE_MILLIS,
                Math.max(
                        route.objectiveMillis() * PATIENCE_PER_OBJECTIVE,
                        route.pauseMillis() * PATIENCE_PER_PAUSE));
    }
}
