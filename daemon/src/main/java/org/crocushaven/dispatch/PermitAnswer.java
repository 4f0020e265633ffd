package org.crocushaven.dispatch;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.crocushaven.protocol.Message;
import org.crocushaven.result.ResultCode;

/**
 * Answers a {@link PermitAsk}.
 *
 * @param code number of the result code; that of {@code OK} when the permit is granted
 * @param retryAfterMillis time after which another attempt can succeed, in milliseconds
 * @param incarnation incarnation of the backend server for which the permit holds
 * @param fencingNumber number of the dispatcher lease
 * @param waitedForLoad whether the request waited until its version was loaded
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record PermitAnswer(
        int code,
        long retryAfterMillis,
        long incarnation,
        long fencingNumber,
        boolean waitedForLoad)
        implements Message {
    private static final long RETRY_AFTER_MILLIS = 100;

    /**
     * Returns a refusal without a fencing number, for requests that a dispatcher did not refuse
     * itself.
     */
    static PermitAnswer refusal(ResultCode code) {
        return new PermitAnswer(code.number(), RETRY_AFTER_MILLIS, 0, 0, false);
    }
}
