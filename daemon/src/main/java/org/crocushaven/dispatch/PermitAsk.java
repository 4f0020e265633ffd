package org.crocushaven.dispatch;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.Optional;
import org.crocushaven.configuration.AdapterVersion;
import org.crocushaven.protocol.Message;

/**
 * Asks the dispatcher of a backend server for a permit; answered by {@link PermitAnswer}.
 *
 * @param backendServer name of the backend server
 * @param requestId identifier of the request
 * @param organisation name of the organisation for which the request runs; empty on open routes
 * @param weight the organisation's weight
 * @param version the adapter version; empty for the base model
 * @param tokens tokens charged for the request
 * @param urgency RFC 9218 urgency
 * @param remainingNanos time until the request's deadline, in nanoseconds
 * @param waitedNanos time since the request arrived, in nanoseconds
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record PermitAsk(
        String backendServer,
        String requestId,
        String organisation,
        int weight,
        Optional<AdapterVersion> version,
        long tokens,
        int urgency,
        long remainingNanos,
        long waitedNanos)
        implements Message {}
