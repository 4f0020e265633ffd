package org.crocushaven.serving;

import org.agrona.concurrent.NanoClock;
import org.crocushaven.configuration.AdapterVersion;

/** Records times and counts of one request for logs and metrics. Thread-safe. */
final class RequestProgress {
    private static final long NONE = -1;

    private final NanoClock clock;
    private final long arrivalNanos;
    private String backendServer = "";
    private int attempts;
    private long permitNanos;
    private long overheadNanos = NONE;
    private long firstByteNanos = NONE;
    private boolean waitedForLoad;

    RequestProgress(NanoClock clock) {
        this.clock = clock;
        this.arrivalNanos = clock.nanoTime();
    }

    long arrivalNanos() {
        return arrivalNanos;
    }

    /** Returns the backend server of the last attempt; empty before the first. */
    synchronized String backendServer() {
        return backendServer;
    }

    /** Records a new attempt and returns its number, starting at 1. */
    synchronized int startAttempt(String chosenServer) {
        backendServer = chosenServer;
        return ++attempts;
    }

    /** Adds the time spent waiting for a permit. */
    synchronized void recordPermitAnswer(long askedNanos, boolean permitWaitedForLoad) {
        permitNanos += clock.nanoTime() - askedNanos;
        waitedForLoad |= permitWaitedForLoad;
    }

    /** Returns the time spent waiting for permits, in nanoseconds. */
    synchronized long permitNanos() {
        return permitNanos;
    }

    /** Records that an attempt is being sent; only the first one sets the time. */
    synchronized void recordSending() {
        if (overheadNanos == NONE) {
            overheadNanos = clock.nanoTime() - arrivalNanos - permitNanos;
        }
    }

    /** Records the time of the first byte of an answer. */
    synchronized void recordFirstByte() {
        if (firstByteNanos == NONE) {
            firstByteNanos = clock.nanoTime() - arrivalNanos;
        }
    }

    /**
     * Returns the summary of the request.
     *
     * @param target the resolved target; null when none was found
     */
    synchronized ServingListener.RequestSummary summary(
            String requestId, String organisation, ResolvedTarget target, long chargedTokens) {
        return new ServingListener.RequestSummary(
                requestId,
                organisation,
                target == null ? "" : target.service().name(),
                target == null ? "" : target.version().map(AdapterVersion::toString).orElse(""),
                backendServer,
                attempts,
                chargedTokens,
                waitedForLoad,
                permitNanos,
                overheadNanos,
                firstByteNanos,
                clock.nanoTime() - arrivalNanos);
    }
}
