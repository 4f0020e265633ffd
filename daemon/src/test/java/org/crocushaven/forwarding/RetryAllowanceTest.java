package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RetryAllowanceTest {
    private static final double RATIO = 0.2;
    private static final double EXTRA = 50;

    private static int drain(RetryAllowance allowance) {
        int repeats = 0;
        while (allowance.tryRepeat("service")) {
            repeats++;
        }
        return repeats;
    }

    @Test
    void allGatewaysTogetherKeepTheExtraRepeats() {
        int total = 0;
        for (int gateway = 0; gateway < 7; gateway++) {
            final RetryAllowance allowance = RetryAllowance.of(RATIO, EXTRA);
            allowance.gateways(7);
            total += drain(allowance);
        }

        assertTrue(total <= EXTRA, "repeats: " + total);
    }

    @Test
    void sendsEarnNoMoreThanTheRatio() {
        final RetryAllowance allowance = RetryAllowance.of(RATIO, EXTRA);
        drain(allowance);
        for (int send = 0; send < 100; send++) {
            allowance.sent("service");
        }

        assertTrue(drain(allowance) <= 100 * RATIO);
    }

    @Test
    void whatIsEarnedInQuietTimesIsBounded() {
        final RetryAllowance allowance = RetryAllowance.of(RATIO, EXTRA);
        for (int send = 0; send < 100_000; send++) {
            allowance.sent("service");
        }

        assertTrue(drain(allowance) <= EXTRA);
    }

    @Test
    void servicesHaveAllowancesOfTheirOwn() {
        final RetryAllowance allowance = RetryAllowance.of(RATIO, EXTRA);
        drain(allowance);

        assertFalse(allowance.tryRepeat("service"));
        assertTrue(allowance.tryRepeat("other"));
    }
}
