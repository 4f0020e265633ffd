package org.crocushaven.forwarding;

import java.util.concurrent.TimeUnit;

/**
 * Decides whose answer to one request is forwarded: that of its attempt or, when the backend server
 * of it is silent, that of a replacement. Used on the event loop only.
 */
final class AttemptSuccession {
    /**
     * Maximum time for which two backend servers may work on a stream, counted from the answer of
     * the second one; then the silent one is abandoned.
     */
    private static final long MAXIMUM_OVERLAP_MILLIS = 300;

    private final ForwardedRequest served;
    private final ForwardingEnvironment environment;
    private final RequestForwarding forwarding;
    private final AttemptsInFlight attempts;
    private final RetryState retries;
    private final ReplacementSearch replacements;
    private final InactivityTimer silence;
    private EventSplitter splitter = new EventSplitter();
    private EventSplitter replacementSplitter;
    private boolean readingPaused;

    /**
     * Creates the succession of one request.
     *
     * @param forwarding sends the replacement
     */
    AttemptSuccession(ForwardedRequest served, RequestForwarding forwarding) {
        this.served = served;
        this.environment = served.environment();
        this.forwarding = forwarding;
        this.attempts = served.attempts();
        this.retries = served.retries();
        this.replacements = new ReplacementSearch(served, forwarding);
        this.silence =
                new InactivityTimer(environment.loop(), environment.clock(), this::backendSilent);
    }

    /** Returns whether the request is answered by a stream. */
    boolean isStreamRoute() {
        return forwarding.isStream();
    }

    /** Returns the splitter of the answer that is forwarded. */
    EventSplitter splitter() {
        return splitter;
    }

    EventSplitter splitterOf(BackendAttempt attempt) {
        return attempt == attempts.replacement() ? replacementSplitter : splitter;
    }

    /** Pauses or resumes the reading of the answer that is forwarded. */
    void setReading(boolean reading) {
        if (!attempts.isEmpty() && readingPaused == reading) {
            readingPaused = !reading;
            attempts.current().setAutoRead(reading);
        }
    }

    /** Called when an attempt was sent. */
    void attemptSent(BackendAttempt sent) {
        if (sent == attempts.current()) {
            startSilenceTimer();
        }
    }

    /** Decides for the attempt that has brought an event, and ends the other one. */
    void eventsReceived(BackendAttempt from) {
        if (from == attempts.replacement()) {
            replaceSilent();
        } else {
            abandonReplacement("silent backend server went on first");
        }
        replacements.silenceEnded();
    }

    /** Sets the limit for the next silence. */
    void recordProgress() {
        silence.recordProgress(
                SilenceLimits.withinStreamMillis(served.route(), served.remainingMillis()));
    }

    /**
     * Called when a backend server begins to answer with a stream, which means that it works on the
     * request; limits the time for which the silent one works on it too.
     */
    void streamAnswered(BackendAttempt from) {
        if (isReplacement(from)) {
            environment
                    .loop()
                    .schedule(
                            () -> {
                                if (isReplacement(from)) {
                                    replaceSilent();
                                }
                            },
                            MAXIMUM_OVERLAP_MILLIS,
                            TimeUnit.MILLISECONDS);
        }
    }

    private boolean isReplacement(BackendAttempt from) {
        return !served.isStale(from) && from == attempts.replacement();
    }

    /** Adds a second attempt beside that of the silent backend server. */
    void beginReplacement(BackendAttempt replacement) {
        replacementSplitter = splitter.continued();
        attempts.beginReplacement(replacement);
    }

    /** Abandons the silent backend server for the replacement, whose answer is forwarded now. */
    void replaceSilent() {
        final BackendAttempt silent = attempts.current();
        retries.recordMayHaveRun(true);
        retries.exclude(silent.target().backend().backend());
        served.reportFailedAttempt(silent, true, "silent, replaced");
        silent.abort();
        end(silent);
    }

    /** Ends an attempt; a replacement goes on in its place. */
    void end(BackendAttempt ended) {
        final boolean wasCurrent = ended == attempts.current();
        attempts.end(ended);
        if (!wasCurrent) {
            return;
        }
        silence.stop();
        readingPaused = false;
        replacements.silenceEnded();
        if (!attempts.isEmpty()) {
            splitter = replacementSplitter;
            startSilenceTimer();
        }
    }

    /** Ends all attempts when the request ends, and aborts them unless the answer is complete. */
    void endAll(boolean answered) {
        silence.stop();
        try {
            abandonReplacement("request ended");
        } finally {
            endCurrent(answered);
        }
    }

    private void endCurrent(boolean answered) {
        if (!attempts.isEmpty()) {
            final BackendAttempt last = attempts.current();
            retries.recordMayHaveRun(last.wasSent());
            end(last);
            if (!answered) {
                last.abort();
            }
        }
    }

    private void abandonReplacement(String reason) {
        if (attempts.hasReplacement()) {
            final BackendAttempt unneeded = attempts.replacement();
            retries.recordMayHaveRun(unneeded.wasSent());
            unneeded.abort();
            end(unneeded);
            served.reportFailedAttempt(unneeded, unneeded.wasSent(), reason);
        }
    }

    private void startSilenceTimer() {
        if (served.route().isRetryable()) {
            silence.start(
                    served.isStreamStarted()
                            ? SilenceLimits.withinStreamMillis(
                                    served.route(), served.remainingMillis())
                            : SilenceLimits.beforeAnswerMillis(served.route()));
        }
    }

    /** Looks for a replacement of a silent backend server, whose answer is still awaited. */
    private void backendSilent(long silentMillis) {
        if (served.isDone() || attempts.isEmpty() || attempts.hasReplacement() || readingPaused) {
            return;
        }
        final BackendAttempt silent = attempts.current();
        environment.probes().probe(silent.target().backend());
        served.recordSilence(silent);
        if (!replacements.lacksSomething()) {
            environment
                    .health()
                    .recordFailure(silent.target().backend().backend(), 1, environment.nowNanos());
        }
        if (served.remainingMillis() <= 0) {
            replacements.reportLack("time");
        } else if (!forwarding.mayTryAnother()) {
            replacements.reportLack("attempts");
        } else if (!forwarding.tryHandOverSilent(silent)) {
            replacements.start(silent, retries.excluded());
        }
    }
}
