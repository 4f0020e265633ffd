package org.crocushaven.backend;

import io.netty.handler.codec.http.HttpHeaders;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/** Header names and helper methods that the answer rules share. */
final class AnswerHeaders {
    static final String ADAPTER = "Crocushaven-Adapter";
    static final String EXECUTION = "Crocushaven-Execution";
    static final String REQUEST_ID = "Crocushaven-Request-Id";

    private static final int SUCCESS_CLASS = 2;

    private AnswerHeaders() {}

    /** Returns whether the status is of the 2xx class. */
    static boolean isSuccess(int status) {
        return status / 100 == SUCCESS_CLASS;
    }

    /**
     * Checks that the answer does not name another request than the one that was sent.
     *
     * @throws ResultException if it does
     */
    static void checkRequestId(String server, String requestId, HttpHeaders headers) {
        final String echo = headers.get(REQUEST_ID);
        if (echo != null && !echo.equals(requestId)) {
            throw serverFailure(server, "it answered another request");
        }
    }

    /** Returns a failure after which it is unknown whether the request was executed. */
    static ResultException serverFailure(String server, String reason) {
        return ResultException.of(ResultCode.BACKEND_SERVER_FAILED, server, reason);
    }
}
