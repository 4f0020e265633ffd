package org.crocushaven.backend;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.crocushaven.result.ResultException;

/** Decides whether the answer of a backend server is delivered or is a failure. */
interface AnswerRule {
    /**
     * Returns whether the body may be delivered as it arrives; otherwise it is buffered until
     * {@link #findFailure} has checked all of it.
     *
     * @throws ResultException if the answer must not be delivered
     */
    boolean mayDeliverImmediately(int status, HttpHeaders headers);

    /** Returns the failure that a buffered answer means; empty if the answer is to be delivered. */
    Optional<ResultException> findFailure(int status, HttpHeaders headers, byte[] body);

    /**
     * Returns whether a model engine generated the answer. Such an answer may report its usage, and
     * an event stream is complete only if it ends with {@code data: [DONE]}.
     */
    boolean isFromEngine();
}
