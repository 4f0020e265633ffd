package org.crocushaven.forwarding;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Contains the fields that a gateway adds to a request for a backend server.
 *
 * @param backend identifier of the intended backend server
 * @param remainingMillis remaining time
 * @param organisation organisation that holds the client's key
 * @param adapterVersion version of the adapter that the backend server must hold
 * @param priority priority among the backend server's requests; 0 is the highest
 * @param lastEventId event after which a stream resumes
 */
public record ForwardingFields(
        String backend,
        long remainingMillis,
        Optional<String> organisation,
        OptionalLong adapterVersion,
        OptionalInt priority,
        Optional<String> lastEventId) {}
