package org.crocushaven.caller;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.List;
import java.util.regex.Pattern;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.crocushaven.settings.CallerLimits;

/** Converts HTTP decoding failures to refusals. */
final class DecodingFailure {
    private static final Pattern DIGITS = Pattern.compile("\\d{1,18}");

    private DecodingFailure() {}

    /** Returns the refusal for a message whose decoding failed. */
    static ResultException toRefusal(HttpObject message, CallerLimits limits) {
        final Throwable cause = message.decoderResult().cause();
        if (cause instanceof TooLongHttpHeaderException
                || cause instanceof TooLongHttpLineException) {
            return ResultException.of(ResultCode.HEADERS_TOO_LARGE, limits.maximumHeaderBytes());
        }
        if (message instanceof HttpMessage head && hasConflictingLength(head)) {
            return ResultException.of(
                    ResultCode.CONFLICTING_HEADERS,
                    "the length of the body is given more than once or is not a number");
        }
        return ResultException.of(ResultCode.MALFORMED_REQUEST, "not valid HTTP/1.1");
    }

    private static boolean hasConflictingLength(HttpMessage head) {
        final List<String> lengths = head.headers().getAll(HttpHeaderNames.CONTENT_LENGTH);
        return lengths.size() > 1
                || lengths.size() == 1
                        && (!DIGITS.matcher(lengths.get(0)).matches()
                                || head.headers().contains(HttpHeaderNames.TRANSFER_ENCODING));
    }
}
