package org.crocushaven.protocol;

import java.time.Duration;
import java.util.concurrent.CompletionException;
import org.crocushaven.result.Execution;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/** Converts between exceptions and {@link Failure} messages. */
public final class Failures {
    private static final long UNKNOWN_DELAY = -1;

    private Failures() {}

    /**
     * Returns the message for an exception, which is first unwrapped by {@link #toResultException}.
     */
    public static Failure toMessage(Throwable thrown) {
        final ResultException failure = toResultException(thrown);
        return new Failure(
                failure.code().number(),
                failure.execution().name(),
                failure.getMessage(),
                failure.retryAfter().map(Duration::toMillis).orElse(UNKNOWN_DELAY));
    }

    /** Returns the exception for a failure that a peer reported. */
    public static ResultException fromMessage(Failure failure) {
        final ResultCode code = ResultCode.fromNumber(failure.code()).orElse(ResultCode.INTERNAL);
        final ResultException exception =
                ResultException.withDetail(code, failure.detail())
                        .withExecution(Execution.valueOf(failure.execution()));
        return failure.retryAfterMillis() < 0
                ? exception
                : exception.withRetryAfter(Duration.ofMillis(failure.retryAfterMillis()));
    }

    /**
     * Returns the {@link ResultException} inside any {@link CompletionException} wrappers; other
     * exceptions become {@code INTERNAL}.
     */
    public static ResultException toResultException(Throwable thrown) {
        Throwable cause = thrown;
        while (cause instanceof CompletionException && cause.getCause() != null) {
            cause = cause.getCause();
        }
        return cause instanceof ResultException result
                ? result
                : ResultException.of(ResultCode.INTERNAL, cause.toString());
    }
}
