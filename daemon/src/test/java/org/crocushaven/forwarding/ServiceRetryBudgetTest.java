package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ServiceRetryBudgetTest {
    private static final double RATIO = 0.2;
    private static final double EXTRA = 50;

    private static int drain(ServiceRetryBudget budget) {
        int retries = 0;
        while (budget.tryRetry("service")) {
            retries++;
        }
        return retries;
    }

    @Test
    void allGatewaysTogetherStayWithinExtraRetries() {
        int total = 0;
        for (int gateway = 0; gateway < 7; gateway++) {
            final ServiceRetryBudget budget = ServiceRetryBudget.of(RATIO, EXTRA);
            budget.setGateways(7);
            total += drain(budget);
        }

        assertTrue(total <= EXTRA, "retries: " + total);
    }

    @Test
    void sendsAddNoMoreThanRatio() {
        final ServiceRetryBudget budget = ServiceRetryBudget.of(RATIO, EXTRA);
        drain(budget);
        for (int send = 0; send < 100; send++) {
            budget.recordSend("service");
        }

        assertTrue(drain(budget) <= 100 * RATIO);
    }

    @Test
    void budgetIsCapped() {
        final ServiceRetryBudget budget = ServiceRetryBudget.of(RATIO, EXTRA);
        for (int send = 0; send < 100_000; send++) {
            budget.recordSend("service");
        }

        assertTrue(drain(budget) <= EXTRA);
    }

    @Test
    void servicesHaveSeparateBudgets() {
        final ServiceRetryBudget budget = ServiceRetryBudget.of(RATIO, EXTRA);
        drain(budget);

        assertFalse(budget.tryRetry("service"));
        assertTrue(budget.tryRetry("other"));
    }
}
