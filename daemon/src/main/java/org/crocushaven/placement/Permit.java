package org.crocushaven.placement;

import java.util.Optional;
import org.crocushaven.configuration.AdapterVersion;

/**
 * Permission to send one request to a backend server.
 *
 * @param requestId identifier of the request
 * @param holder the instance that holds it
 * @param version the pinned version
 * @param grantedNanos time of the grant
 * @param deadlineNanos the request's deadline
 */
record Permit(
        String requestId,
        String holder,
        Optional<AdapterVersion> version,
        long grantedNanos,
        long deadlineNanos) {}
