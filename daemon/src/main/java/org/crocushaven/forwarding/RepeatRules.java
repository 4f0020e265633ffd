package org.crocushaven.forwarding;

import java.util.HashSet;
import java.util.Set;
import org.crocushaven.ingress.IngressRoute;

/**
 * Whether a request may be sent once more, by what became of the sends before.
 *
 * <p>A request that may have run is sent again only where its route allows it; a stream that has
 * begun only where the backend server can go on after its last event. Not thread-safe.
 */
final class RepeatRules {
    private static final int MISDIRECTED = 421;
    private static final int TOO_MANY_REQUESTS = 429;

    /** How often a request waits once more for an adapter that comes later than expected. */
    private static final int ADAPTER_WAITS = 3;

    private final Set<String> avoided = new HashSet<>();
    private final Set<String> sentTo = new HashSet<>();
    private int sends;
    private int adapterWaits;
    private boolean mayHaveRun;

    /** Notes a send to a backend server; returns its number. */
    int sent(String backend) {
        sentTo.add(backend);
        sends++;
        return sends;
    }

    /** Notes that a send may have run. */
    void mayHaveRun(boolean may) {
        mayHaveRun |= may;
    }

    /** Returns whether any send may have run. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Notes that a backend server will not do. */
    void avoid(String backend) {
        avoided.add(backend);
    }

    /** Notes that a request never reached a backend server, which counts as no send to it. */
    void neverReached(String backend) {
        sentTo.remove(backend);
        avoided.add(backend);
    }

    /** Returns the backend servers that will not do. */
    Set<String> avoided() {
        return avoided;
    }

    /** Returns how many sends there were. */
    int sends() {
        return sends;
    }

    /**
     * Returns whether the request may be sent to another backend server.
     *
     * @param begun whether the client has got a part of the answer
     * @param canResume whether the answer can go on after that part
     */
    boolean mayTryAnother(IngressRoute route, boolean begun, boolean canResume) {
        return sentTo.size() < route.maximumAttempts()
                && (!mayHaveRun || route.isRepeatable())
                && (!begun || canResume);
    }

    /**
     * Returns whether an adapter that was ordered for this request may just not be there yet, and
     * counts the wait for it.
     *
     * @param status with which the backend server did not run the request
     */
    boolean awaitsAdapter(Target target, int status) {
        final boolean awaits =
                target.fresh() && status != TOO_MANY_REQUESTS && adapterWaits < ADAPTER_WAITS;
        adapterWaits += awaits ? 1 : 0;
        return awaits;
    }

    /** Returns whether a status says that the backend server does not hold what is asked for. */
    static boolean isMisdirected(int status) {
        return status == MISDIRECTED;
    }
}
