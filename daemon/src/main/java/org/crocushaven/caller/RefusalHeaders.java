package org.crocushaven.caller;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.crocushaven.result.Problem;
import org.crocushaven.result.ResultException;

/** Sets the headers of answers that contain problem details. */
final class RefusalHeaders {
    private static final int UNAUTHORISED = 401;

    private RefusalHeaders() {}

    /** Sets the content type, authentication challenge and retry delay for the refusal. */
    static void set(HttpHeaders headers, ResultException refusal) {
        headers.set(HttpHeaderNames.CONTENT_TYPE, Problem.MEDIA_TYPE);
        if (refusal.code().httpStatus() == UNAUTHORISED) {
            headers.set(HttpHeaderNames.WWW_AUTHENTICATE, "Bearer");
        }
        refusal.retryAfter()
                .ifPresent(
                        delay -> {
                            headers.set(HttpHeaderNames.RETRY_AFTER, Problem.wholeSeconds(delay));
                            headers.set("Crocushaven-Retry-After-Millis", delay.toMillis());
                        });
    }
}
