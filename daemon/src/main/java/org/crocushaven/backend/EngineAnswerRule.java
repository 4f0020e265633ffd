package org.crocushaven.backend;

import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.crocushaven.result.Execution;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Accepts a successful answer of a model engine only if it echoes the requested adapter version.
 *
 * @param server name of the backend server
 * @param expected the {@code adapter@version} or base model that was asked for
 * @param requestId identifier of the request; an answer that names another one is refused
 */
record EngineAnswerRule(String server, String expected, String requestId) implements AnswerRule {
    private static final int NOT_FOUND = 404;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int UNAVAILABLE = 503;
    private static final String ADAPTER_NOT_LOADED = "\"adapter_not_loaded\"";

    @Override
    public boolean mayDeliverImmediately(int status, HttpHeaders headers) {
        AnswerHeaders.checkRequestId(server, requestId, headers);
        final String echo = headers.get(AnswerHeaders.ADAPTER);
        final boolean success = AnswerHeaders.isSuccess(status);
        if (success && !expected.equals(echo) || echo != null && !expected.equals(echo)) {
            throw ResultException.of(
                    ResultCode.WRONG_ADAPTER_ANSWERED,
                    server,
                    expected,
                    echo == null ? "no adapter name" : echo);
        }
        return success;
    }

    @Override
    public Optional<ResultException> findFailure(int status, HttpHeaders headers, byte[] body) {
        final boolean notLoaded =
                status == NOT_FOUND
                        && new String(body, StandardCharsets.UTF_8).contains(ADAPTER_NOT_LOADED);
        final boolean refused =
                (status == TOO_MANY_REQUESTS || status == UNAVAILABLE)
                        && Execution.NOT_RUN
                                .headerValue()
                                .equals(headers.get(AnswerHeaders.EXECUTION));
        if (notLoaded || refused) {
            return Optional.of(ResultException.of(ResultCode.BACKEND_SERVER_REFUSED, server));
        }
        final boolean clientError =
                status >= 400 && status < FIRST_SERVER_ERROR && status != TOO_MANY_REQUESTS;
        return clientError
                ? Optional.empty()
                : Optional.of(AnswerHeaders.serverFailure(server, "status " + status));
    }

    @Override
    public boolean isFromEngine() {
        return true;
    }
}
