package org.crocushaven.serving;

import java.util.EnumSet;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.crocushaven.result.Execution;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Decides whether a request is retried, and tracks whether any attempt may have run.
 *
 * <p>An attempt that certainly did not run may be retried on another backend server. An attempt
 * that may have run is retried only if the call is idempotent and the retry budget allows it. Once
 * an attempt may have run, no later refusal states that the request was not run. Thread-safe.
 */
final class RetryRules {
    private static final Set<ResultCode> NON_RETRYABLE_CODES =
            EnumSet.of(
                    ResultCode.KEY_MISSING,
                    ResultCode.KEY_UNKNOWN,
                    ResultCode.KEY_WITHDRAWN,
                    ResultCode.NOT_PERMITTED,
                    ResultCode.CONTROL_STATE_STALE);
    private static final int MAXIMUM_FAILURES = 4;
    private static final int MAXIMUM_WAITS = 20;

    private final BooleanSupplier retryBudget;
    private ResultException lastFailure;
    private int failures;
    private int waits;
    private boolean mayHaveRun;

    /**
     * Creates the rules of one request.
     *
     * @param retryBudget takes a retry from the retry budget; returns false when it is used up
     */
    RetryRules(BooleanSupplier retryBudget) {
        this.retryBudget = retryBudget;
    }

    /**
     * Records a failed attempt. A missing dispatcher does not count towards the maximum number of
     * failures.
     */
    synchronized void failed(ResultException failure) {
        lastFailure = failure;
        mayHaveRun |= failure.execution() != Execution.NOT_RUN;
        if (failure.code() != ResultCode.NO_DISPATCHER) {
            failures++;
        }
    }

    /** Returns whether another attempt may follow the last failure. */
    synchronized boolean mayRetry(boolean idempotent) {
        if (failures >= MAXIMUM_FAILURES) {
            return false;
        }
        return switch (lastFailure.execution()) {
            case NOT_RUN -> !NON_RETRYABLE_CODES.contains(lastFailure.code());
            case UNKNOWN -> idempotent && retryBudget.getAsBoolean();
            default -> false;
        };
    }

    /**
     * Returns whether the request may wait until a dispatcher is assigned, and counts the wait.
     *
     * @param dispatcherExpected whether a dispatcher of the service is expected to be replaced
     */
    synchronized boolean mayWaitForDispatcher(boolean dispatcherExpected) {
        final boolean dispatcherMissing =
                lastFailure != null && lastFailure.code() == ResultCode.NO_DISPATCHER;
        if (waits >= MAXIMUM_WAITS || !dispatcherExpected && !dispatcherMissing) {
            return false;
        }
        waits++;
        return true;
    }

    /** Returns the last failure, or the given refusal when no attempt was made. */
    synchronized ResultException lastFailureOr(ResultException refusal) {
        return lastFailure == null ? refusal : lastFailure;
    }

    /**
     * Returns the refusal, with execution {@code UNKNOWN} in place of {@code NOT_RUN} if an earlier
     * attempt may have run.
     */
    synchronized ResultException withOverallExecution(ResultException refusal) {
        return mayHaveRun && refusal.execution() == Execution.NOT_RUN
                ? refusal.withExecution(Execution.UNKNOWN)
                : refusal;
    }
}
