package org.crocushaven.backend;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.crocushaven.result.Execution;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Delivers an answer of a plain service if its status is below 500; any other is a failure.
 *
 * @param server name of the backend server
 * @param requestId identifier of the request; an answer that names another one is refused
 */
record ServiceAnswerRule(String server, String requestId) implements AnswerRule {
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int UNAVAILABLE = 503;

    @Override
    public boolean mayDeliverImmediately(int status, HttpHeaders headers) {
        AnswerHeaders.checkRequestId(server, requestId, headers);
        return status < FIRST_SERVER_ERROR;
    }

    @Override
    public Optional<ResultException> findFailure(int status, HttpHeaders headers, byte[] body) {
        final boolean refused =
                status == UNAVAILABLE
                        && Execution.NOT_RUN
                                .headerValue()
                                .equals(headers.get(AnswerHeaders.EXECUTION));
        return Optional.of(
                refused
                        ? ResultException.of(ResultCode.BACKEND_SERVER_REFUSED, server)
                        : AnswerHeaders.serverFailure(server, "status " + status));
    }

    @Override
    public boolean isFromEngine() {
        return false;
    }
}
