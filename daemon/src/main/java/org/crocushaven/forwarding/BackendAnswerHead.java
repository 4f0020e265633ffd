package org.crocushaven.forwarding;

import java.util.Optional;

/**
 * What the head of a backend server's answer says.
 *
 * @param requestId the request that is answered, as echoed
 * @param signed whether it bears the backend server's signature
 * @param notExecuted whether it states that the request did not run and never will
 * @param load how busy the backend server is
 */
public record BackendAnswerHead(
        Optional<String> requestId, boolean signed, boolean notExecuted, Optional<Load> load) {
    /**
     * How busy a backend server is.
     *
     * @param running requests that run
     * @param waiting requests that wait
     * @param slots requests that can run at once
     */
    public record Load(int running, int waiting, int slots) {}
}
