package org.crocushaven.forwarding;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Contains what a gateway reads from the head of a backend server's answer.
 *
 * @param requestId identifier of the answered request, as echoed by the backend server
 * @param signed whether the answer carries the signature of a backend server
 * @param notRun whether the answer states that the request did not run and never will
 * @param load current load of the backend server
 * @param leaving whether the backend server says that it leaves
 * @param pause time for which the backend server, which turned the request away, wants no more
 *     requests of this gateway
 * @param limit what the answer says of the requests that the backend server takes
 * @param brittle number of requests that the backend server can turn away within a second without
 *     ending; empty if it does not say that it is brittle
 */
public record BackendAnswerHead(
        Optional<String> requestId,
        boolean signed,
        boolean notRun,
        Optional<Load> load,
        boolean leaving,
        Optional<Duration> pause,
        NamedLimit limit,
        OptionalDouble brittle) {
    /**
     * Describes the current load of a backend server.
     *
     * @param running number of running requests
     * @param waiting number of queued requests
     * @param slots maximum number of concurrently running requests
     */
    public record Load(int running, int waiting, int slots) {}
}
