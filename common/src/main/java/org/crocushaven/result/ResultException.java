package org.crocushaven.result;

import java.time.Duration;
import java.util.Optional;

/**
 * Reports a result code with a human-readable detail and, if known, the delay before a retry.
 *
 * <p>Asynchronous operations complete their {@code CompletableFuture} exceptionally with this type.
 */
public final class ResultException extends RuntimeException {
    private final ResultCode code;
    private final Execution execution;
    private final transient Optional<Duration> retryAfter;

    private ResultException(
            ResultCode code,
            Execution execution,
            String detail,
            Optional<Duration> retryAfter,
            Throwable cause) {
        super(detail, cause, false, false);
        this.code = code;
        this.execution = execution;
        this.retryAfter = retryAfter;
    }

    /** Returns an exception with the code's message text formatted with the given arguments. */
    public static ResultException of(ResultCode code, Object... arguments) {
        return new ResultException(
                code, code.execution(), Messages.format(code, arguments), Optional.empty(), null);
    }

    /** Returns an exception with the given detail instead of the message text of the code. */
    public static ResultException withDetail(ResultCode code, String detail) {
        return new ResultException(code, code.execution(), detail, Optional.empty(), null);
    }

    /** Returns a copy with the delay after which the request may be sent again. */
    public ResultException withRetryAfter(Duration delay) {
        return new ResultException(code, execution, getMessage(), Optional.of(delay), getCause());
    }

    /**
     * Returns a copy that states whether the request was executed, overriding the default of the
     * code.
     */
    public ResultException withExecution(Execution actual) {
        return new ResultException(code, actual, getMessage(), retryAfter, getCause());
    }

    /** Returns a copy with the failure that led to it. */
    public ResultException withCause(Throwable cause) {
        return new ResultException(code, execution, getMessage(), retryAfter, cause);
    }

    /** Returns the result code. */
    public ResultCode code() {
        return code;
    }

    /** Returns whether the request was executed. */
    public Execution execution() {
        return execution;
    }

    /** Returns the delay after which the same request may be sent again, if known. */
    public Optional<Duration> retryAfter() {
        return retryAfter == null ? Optional.empty() : retryAfter;
    }
}
