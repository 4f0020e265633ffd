package org.crocushaven.placement;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.Optional;
import org.crocushaven.configuration.AdapterVersion;

/**
 * Request to a dispatcher for a permit to send one request to its backend server.
 *
 * @param requestId identifier of the request
 * @param holder the instance that will hold the permit
 * @param organisation the organisation for which the request runs
 * @param weight the organisation's weight
 * @param version the adapter version; empty for the base model and for plain services
 * @param tokens number of tokens charged for the request
 * @param urgency RFC 9218 urgency, 0 the most urgent
 * @param deadlineNanos time after which the answer is useless, on the dispatcher's clock
 * @param arrivalNanos arrival time of the request, on the dispatcher's clock
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record PermitRequest(
        String requestId,
        String holder,
        String organisation,
        int weight,
        Optional<AdapterVersion> version,
        long tokens,
        int urgency,
        long deadlineNanos,
        long arrivalNanos) {
    private static final int LAST_INTERACTIVE_URGENCY = 4;

    /** Returns whether the urgency marks the request as interactive. */
    public boolean isInteractive() {
        return urgency <= LAST_INTERACTIVE_URGENCY;
    }
}
