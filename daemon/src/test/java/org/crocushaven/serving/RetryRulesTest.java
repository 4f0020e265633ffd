package org.crocushaven.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.crocushaven.result.Execution;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RetryRulesTest {
    private static final ResultException NOT_RUN =
            ResultException.of(ResultCode.QUEUE_FULL, "engine");
    private static final ResultException UNKNOWN =
            ResultException.of(ResultCode.BACKEND_SERVER_FAILED, "engine", "cut");

    private boolean budget = true;
    private final RetryRules rules = new RetryRules(() -> budget);

    @Nested
    class Retries {
        @Test
        void followAttemptThatDidNotRun() {
            rules.failed(NOT_RUN);

            assertTrue(rules.mayRetry(false));
        }

        @Test
        void followAttemptThatMayHaveRunOnlyIfIdempotent() {
            rules.failed(UNKNOWN);

            assertFalse(rules.mayRetry(false));
            assertTrue(rules.mayRetry(true));
        }

        @Test
        void needBudgetAfterUnknownOutcome() {
            budget = false;
            rules.failed(UNKNOWN);

            assertFalse(rules.mayRetry(true));
        }

        @Test
        void doNotFollowRefusalOfKey() {
            rules.failed(ResultException.of(ResultCode.KEY_WITHDRAWN));

            assertFalse(rules.mayRetry(true));
        }

        @Test
        void endAfterFourFailures() {
            for (int failure = 0; failure < 4; failure++) {
                assertTrue(failure == 0 || rules.mayRetry(true));
                rules.failed(NOT_RUN);
            }

            assertFalse(rules.mayRetry(true));
        }
    }

    @Nested
    class OverallExecution {
        @Test
        void staysNotRunWhenNoAttemptMayHaveRun() {
            rules.failed(NOT_RUN);

            assertEquals(Execution.NOT_RUN, rules.withOverallExecution(NOT_RUN).execution());
        }

        @Test
        void becomesUnknownAfterAttemptThatMayHaveRun() {
            rules.failed(UNKNOWN);
            rules.failed(NOT_RUN);

            assertEquals(Execution.UNKNOWN, rules.withOverallExecution(NOT_RUN).execution());
        }
    }

    @Nested
    class Waits {
        @Test
        void needExpectedDispatcher() {
            rules.failed(NOT_RUN);

            assertFalse(rules.mayWaitForDispatcher(false));
            assertTrue(rules.mayWaitForDispatcher(true));
        }

        @Test
        void followMissingDispatcherAtMostTwentyTimes() {
            rules.failed(ResultException.of(ResultCode.NO_DISPATCHER, "service"));

            int waits = 0;
            while (rules.mayWaitForDispatcher(false)) {
                waits++;
            }

            assertEquals(20, waits);
        }
    }
}
