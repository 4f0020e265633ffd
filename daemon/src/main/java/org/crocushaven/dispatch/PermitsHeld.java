package org.crocushaven.dispatch;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import java.util.Optional;
import org.crocushaven.configuration.AdapterVersion;
import org.crocushaven.protocol.Message;

/**
 * Lists the permits that an instance holds, so that a new dispatcher can restore them and a current
 * one detects lost permits.
 *
 * @param permits the permits held
 * @param pending identifiers of the requests without an answer, whose permit may be in flight
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record PermitsHeld(List<HeldPermit> permits, List<String> pending) implements Message {
    public PermitsHeld {
        permits = List.copyOf(permits);
        pending = List.copyOf(pending);
    }

    /**
     * Permit for one request.
     *
     * @param requestId identifier of the request
     * @param version the pinned adapter version
     * @param remainingNanos time until the request's deadline, in nanoseconds
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    public record HeldPermit(
            String requestId, Optional<AdapterVersion> version, long remainingNanos) {}
}
