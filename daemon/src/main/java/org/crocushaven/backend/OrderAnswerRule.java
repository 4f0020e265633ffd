package org.crocushaven.backend;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.crocushaven.configuration.AdapterVersion;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Determines the result of a load or unload order from the status of its answer.
 *
 * @param server name of the backend server
 * @param version the adapter version of the order
 * @param fencingNumber the order's fencing number
 */
record OrderAnswerRule(String server, AdapterVersion version, long fencingNumber)
        implements AnswerRule {
    private static final int CONFLICT = 409;
    private static final int LOCKED = 423;
    private static final int UNAVAILABLE = 503;
    private static final int INSUFFICIENT_STORAGE = 507;

    @Override
    public boolean mayDeliverImmediately(int status, HttpHeaders headers) {
        return AnswerHeaders.isSuccess(status);
    }

    @Override
    public Optional<ResultException> findFailure(int status, HttpHeaders headers, byte[] body) {
        final ResultException failure =
                switch (status) {
                    case CONFLICT ->
                            ResultException.of(
                                    ResultCode.STALE_FENCING_NUMBER,
                                    fencingNumber,
                                    "the one held by " + server);
                    case LOCKED -> ResultException.of(ResultCode.BACKEND_SERVER_REFUSED, server);
                    case UNAVAILABLE, INSUFFICIENT_STORAGE ->
                            ResultException.of(ResultCode.ADAPTER_LOAD_FAILED, version);
                    default -> AnswerHeaders.serverFailure(server, "status " + status);
                };
        return Optional.of(failure);
    }

    @Override
    public boolean isFromEngine() {
        return false;
    }
}
