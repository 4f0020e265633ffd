package org.crocushaven.forwarding;

import org.crocushaven.outbound.ConnectionUse;

/**
 * Describes an answer that came where another request's was awaited.
 *
 * @param requestId identifier of the request that it answers; "-" if it names none
 * @param status HTTP status
 * @param use the send whose answer was awaited
 */
public record ForeignAnswer(String requestId, int status, ConnectionUse use) {}
