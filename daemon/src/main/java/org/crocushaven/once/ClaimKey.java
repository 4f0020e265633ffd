package org.crocushaven.once;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.Objects;

/**
 * Identifies a call that must run at most once.
 *
 * @param organisation name of the caller's organisation; empty on open routes
 * @param service name of the service called
 * @param idempotencyKey key chosen by the caller, or generated for it
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ClaimKey(String organisation, String service, String idempotencyKey) {
    /** Checks that no part is null. */
    public ClaimKey {
        Objects.requireNonNull(organisation);
        Objects.requireNonNull(service);
        Objects.requireNonNull(idempotencyKey);
    }
}
