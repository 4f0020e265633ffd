package org.crocushaven.forwarding;

import java.util.Optional;
import org.crocushaven.fleet.BackendRecord;
import org.crocushaven.result.ResultException;

/**
 * Decides for one request whether it may be sent to backend servers, and passes on how its attempts
 * ended. Used on the event loop only.
 */
final class RequestGuard {
    /** A backend server may end as it writes the first event. */
    private static final long EVENTS_GOING_ON = 2;

    private final CrashGuard guard;
    private final String requestId;
    private RequestTraits traits = RequestTraits.UNKNOWN;
    private boolean probe;
    private boolean wentOn;

    RequestGuard(CrashGuard guard, String requestId) {
        this.guard = guard;
        this.requestId = requestId;
    }

    /** Sets what of the request may be guilty; nothing is decided before. */
    void identify(RequestTraits identified) {
        traits = identified;
    }

    RequestTraits traits() {
        return traits;
    }

    /**
     * Checks a request that arrives; it may also be the probe that the leader has granted.
     *
     * @throws ResultException when the request is condemned
     */
    void requireAllowed() {
        probe = guard.verdictOn(traits).filter(guard::takeProbe).isPresent();
        final Optional<ResultException> refusal = refusal();
        if (refusal.isPresent()) {
            throw refusal.get();
        }
    }

    /** Returns the refusal of a request that was condemned since it arrived. */
    Optional<ResultException> refusal() {
        return probe ? Optional.empty() : guard.verdictOn(traits).map(guard::refuse);
    }

    /** Returns whether the request may be sent once more after it may have run. */
    boolean mayRepeat() {
        return !probe && !guard.isSuspect(traits);
    }

    /** Records how many events of an answer have come; the second shows that it goes on. */
    void recordEvents(long events) {
        if (!wentOn && events >= EVENTS_GOING_ON) {
            recordWentOn();
        }
    }

    /** Records that an answer goes on or is complete. */
    void recordWentOn() {
        wentOn = true;
        guard.wentOn(traits);
    }

    /** Records that a connection ended after some events of its answer. */
    void recordConnectionEnded(BackendRecord backend, long events) {
        if (events < EVENTS_GOING_ON) {
            guard.broken(requestId, traits, backend);
        }
    }
}
