package org.crocushaven.forwarding;

import java.util.Optional;

/**
 * Contains what a gateway tells the one to which it hands a request over, beside what the client
 * sent.
 *
 * @param remainingMillis remaining time
 * @param attempts number of backend servers to which the request may still be sent
 * @param key key that the client presented
 * @param lastEventId event after which a stream resumes
 * @param resumedRequestId identifier of the request that brought the first event of that stream
 */
public record RelayFields(
        long remainingMillis,
        int attempts,
        Optional<String> key,
        Optional<String> lastEventId,
        Optional<String> resumedRequestId) {}
