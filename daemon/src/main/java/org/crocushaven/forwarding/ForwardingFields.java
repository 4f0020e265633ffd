package org.crocushaven.forwarding;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What this system tells a backend server with a request.
 *
 * @param backend identifier of the backend server that is meant
 * @param deadlineMillis time that is left
 * @param organisation organisation that holds the client's key
 * @param adapterVersion version of the adapter that must be there
 * @param priority urgency among the backend server's requests, 0 is first
 * @param lastEventId event after which a stream goes on
 */
public record ForwardingFields(
        String backend,
        long deadlineMillis,
        Optional<String> organisation,
        OptionalLong adapterVersion,
        OptionalInt priority,
        Optional<String> lastEventId) {}
