package org.crocushaven.forwarding;

import java.util.HashSet;
import java.util.Set;
import org.crocushaven.ingress.IngressRoute;

/**
 * Decides whether a request may be sent again, from the results of its earlier sends.
 *
 * <p>A request that may have run is sent again only where its route allows it; a stream that has
 * begun only where a backend server can resume it after its last event. Not thread-safe.
 */
final class RetryState {
    private static final int MISDIRECTED = 421;
    private static final int TOO_MANY_REQUESTS = 429;

    /** Maximum number of additional waits for an adapter that loads more slowly than expected. */
    private static final int MAXIMUM_ADAPTER_WAITS = 3;

    private final Set<String> excluded = new HashSet<>();
    private final Set<String> sentTo = new HashSet<>();
    private int sends;
    private int adapterWaits;
    private String missingAt = "";
    private boolean mayHaveRun;

    /** Records a send to a backend server and returns its number. */
    int recordSend(String backend) {
        sentTo.add(backend);
        sends++;
        return sends;
    }

    /** Records whether a send may have run. */
    void recordMayHaveRun(boolean may) {
        mayHaveRun |= may;
    }

    /** Returns whether any send may have run. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Excludes a backend server from further sends. */
    void exclude(String backend) {
        excluded.add(backend);
    }

    /**
     * Records that a request never reached a backend server: the send does not count as an attempt,
     * and the backend server is excluded from further sends.
     */
    void recordNeverReached(String backend) {
        sentTo.remove(backend);
        excluded.add(backend);
    }

    /** Records that a backend server did not hold the adapter although it should. */
    void recordMissingAt(String backend) {
        missingAt = backend;
    }

    /**
     * Returns the backend server that did not hold the adapter although it should, and forgets it;
     * empty if there is none.
     */
    String takeMissingAt() {
        final String taken = missingAt;
        missingAt = "";
        return taken;
    }

    /** Returns the excluded backend servers. */
    Set<String> excluded() {
        return excluded;
    }

    /** Returns the number of backend servers that count as tried. */
    int serversTried() {
        return sentTo.size();
    }

    /** Returns the number of sends. */
    int sends() {
        return sends;
    }

    /**
     * Returns whether the request may be sent to another backend server.
     *
     * @param maximumAttempts number of backend servers to which it may be sent
     * @param answerStarted whether the client has received a part of the answer
     * @param canResume whether the answer can resume after that part
     */
    boolean mayTryAnother(
            IngressRoute route, int maximumAttempts, boolean answerStarted, boolean canResume) {
        return sentTo.size() < maximumAttempts
                && (!mayHaveRun || route.isRetryable())
                && (!answerStarted || canResume);
    }

    /**
     * Returns whether the adapter requested for this request may still be loading, and counts the
     * wait for it.
     *
     * @param status status with which the backend server refused to run the request
     */
    boolean tryWaitForAdapter(Target target, int status) {
        final boolean waits =
                target.adapterPending()
                        && status != TOO_MANY_REQUESTS
                        && adapterWaits < MAXIMUM_ADAPTER_WAITS;
        adapterWaits += waits ? 1 : 0;
        return waits;
    }

    /**
     * Returns whether a status says that the backend server does not hold the requested model or
     * adapter.
     */
    static boolean isMisdirected(int status) {
        return status == MISDIRECTED;
    }
}
