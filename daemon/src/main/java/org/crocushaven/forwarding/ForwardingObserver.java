package org.crocushaven.forwarding;

import org.crocushaven.ingress.IngressRequest;
import org.crocushaven.result.ResultCode;

/** Takes note of what becomes of requests. */
public interface ForwardingObserver {
    /** A request was sent to a backend server. */
    void sent(IngressRequest request, String backend, int attempt, int requestsThere);

    /** A send did not lead to an answer; says why, and whether the request may have run. */
    void attemptFailed(
            IngressRequest request, String backend, int attempt, boolean mayHaveRun, String reason);

    /** An answer to another request came where this one's was awaited, and was dropped. */
    void foreignAnswer(IngressRequest request, String backend, int attempt);

    /** A request ended. */
    void ended(ForwardingSummary summary);

    /** A request was refused before it was decoded. */
    void unreadable(ResultCode code, String detail);
}
