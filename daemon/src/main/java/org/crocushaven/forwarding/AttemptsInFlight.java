package org.crocushaven.forwarding;

/**
 * Holds the attempts of one request that are in flight: the one whose answer is forwarded, and the
 * replacement that is sent while the backend server of the first is silent.
 *
 * <p>Counts both as requests at their backend servers. Not thread-safe.
 */
final class AttemptsInFlight {
    private final GatewayBackends view;
    private BackendAttempt current;
    private BackendAttempt replacement;

    AttemptsInFlight(GatewayBackends view) {
        this.view = view;
    }

    /** Returns the attempt whose answer is forwarded; null if none is in flight. */
    BackendAttempt current() {
        return current;
    }

    /** Returns the attempt that may replace the current one; null if there is none. */
    BackendAttempt replacement() {
        return replacement;
    }

    boolean isEmpty() {
        return current == null;
    }

    boolean hasReplacement() {
        return replacement != null;
    }

    boolean contains(BackendAttempt attempt) {
        return attempt == current || attempt == replacement;
    }

    /** Adds the only attempt. */
    void begin(BackendAttempt attempt) {
        current = attempt;
        countStart(attempt);
    }

    /** Adds an attempt beside the current one. */
    void beginReplacement(BackendAttempt attempt) {
        replacement = attempt;
        countStart(attempt);
    }

    /** Removes an attempt; a replacement of the current one takes its place. */
    void end(BackendAttempt ended) {
        if (ended == current) {
            current = replacement;
        }
        replacement = null;
        view.requestEnded(ended.target().backend().backend(), ended.target().key());
    }

    private void countStart(BackendAttempt attempt) {
        view.requestStarted(attempt.target().backend().backend(), attempt.target().key());
    }
}
