package org.crocushaven.admission;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.crocushaven.configuration.Organisation;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Simulates an organisation that requests four times its rate, in requests larger than the part of
 * its burst that any one holder has.
 */
class LargeRequestsTest {
    private static final String NAME = "organisation";
    private static final int HOLDERS = 7;
    private static final long RATE = 11_000;
    private static final double DEBT = 5_100;
    private static final int SECONDS = 30;
    private static final long STEP_MILLIS = 10;
    private static final long REPORT_STEPS = 25;

    /** Steps after a refused request at which a gateway reports again. */
    private static final int FOLLOW_UP_STEPS = 6;

    private final SplittableRandom random = new SplittableRandom(7);
    private final List<ShareHolder> holders = new ArrayList<>();
    private long nowNanos = TimeUnit.SECONDS.toNanos(50);
    private final int[] stepsUntilFollowUp = new int[HOLDERS];
    private ShareAllocator allocator;
    private long servedLarge;
    private long askedLarge;
    private long servedSmall;
    private long askedSmall;

    @BeforeEach
    void create() {
        allocator =
                ShareAllocator.create(
                        1,
                        ShareAllocatorSettings.toleratingAllocatorLoss().withMaximumDebt(DEBT),
                        List.of(new Organisation(NAME, RATE, RATE, 1)),
                        nowNanos);
        allocator.endWithholding(0, nowNanos);
        for (int holder = 0; holder < HOLDERS; holder++) {
            holders.add(ShareHolder.create(1));
        }
    }

    private void report(int holder) {
        final ShareHolder reporting = holders.get(holder);
        reporting.apply(
                allocator.handle("gateway-" + holder, reporting.report(nowNanos), nowNanos),
                nowNanos);
    }

    private void ask(int holder) {
        final long tokens = random.nextLong(500, 4_000);
        boolean granted = holders.get(holder).tryCharge(NAME, tokens, nowNanos).granted();
        if (!granted) {
            report(holder);
            stepsUntilFollowUp[holder] = FOLLOW_UP_STEPS;
            granted = holders.get(holder).tryCharge(NAME, tokens, nowNanos).granted();
        }
        final boolean large = tokens > 2_500;
        askedLarge += large ? tokens : 0;
        askedSmall += large ? 0 : tokens;
        servedLarge += large && granted ? tokens : 0;
        servedSmall += !large && granted ? tokens : 0;
    }

    private void simulate() {
        for (int step = 0; step < SECONDS * 1_000 / STEP_MILLIS; step++) {
            for (int holder = 0; holder < HOLDERS; holder++) {
                final boolean followUpDue = stepsUntilFollowUp[holder]-- == 1;
                if (followUpDue || (step + holder * 3) % REPORT_STEPS == 0) {
                    report(holder);
                }
            }
            if (random.nextInt(5) == 0) {
                ask(random.nextInt(HOLDERS));
            }
            nowNanos += TimeUnit.MILLISECONDS.toNanos(STEP_MILLIS);
        }
    }

    @Test
    void servesTheRateAndExceedsItByNoMoreThanBurstAndDebt() {
        simulate();

        final long served = servedLarge + servedSmall;
        assertTrue(served >= 0.9 * RATE * SECONDS, "served: " + served);
        assertTrue(served <= RATE * (SECONDS + 1) + DEBT, "served: " + served);
    }

    @Test
    void servesLargeRequestsAtLeastHalfAsOftenAsSmallOnes() {
        simulate();

        final double large = servedLarge / (double) askedLarge;
        final double small = servedSmall / (double) askedSmall;
        assertTrue(large >= small / 2, "large " + large + ", small " + small);
    }
}
