package org.crocushaven.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.crocushaven.configuration.Organisation;
import org.junit.jupiter.api.Test;

class ShareAllocatorTest {
    private static final String NAME = "organisation";
    private static final long RATE = 1_000;

    private long nowNanos = TimeUnit.SECONDS.toNanos(50);
    private final ShareHolder holder = ShareHolder.create(1);
    private ShareAllocator allocator = allocator(1);

    private ShareAllocator allocator(long epoch) {
        return ShareAllocator.create(
                epoch,
                ShareAllocatorSettings.toleratingAllocatorLoss(),
                List.of(new Organisation(NAME, RATE, RATE, 1)),
                nowNanos);
    }

    private void report() {
        holder.apply(allocator.handle("gateway", holder.report(nowNanos), nowNanos), nowNanos);
    }

    private void advance(long millis) {
        nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Uses half of the rate for the given time, reporting four times per second. */
    private void useHalfOfRate(int seconds) {
        for (int step = 0; step < seconds * 4; step++) {
            holder.tryCharge(NAME, RATE / 8, nowNanos);
            report();
            advance(250);
        }
    }

    @Test
    void grantsOnlyInitialBurstWhileEarlierHoldersMayHaveShares() {
        int granted = 0;
        for (int step = 0; step < 8; step++) {
            report();
            advance(250);
            granted += holder.tryCharge(NAME, RATE / 10, nowNanos).granted() ? 1 : 0;
        }

        assertTrue(granted > 0, "granted: " + granted);
        assertTrue(granted * RATE / 10 <= RATE / 4, "granted: " + granted);
    }

    @Test
    void grantsSharesAtOnceWhenAllHoldersAreKnown() {
        allocator.endWithholding(0, nowNanos);
        report();
        advance(100);
        report();

        assertTrue(holder.tryCharge(NAME, 100, nowNanos).granted());
    }

    @Test
    void holderKeepsItsRateWhileNextAllocatorWithholds() {
        allocator.endWithholding(0, nowNanos);
        useHalfOfRate(8);
        allocator = allocator(2);
        int granted = 0;
        for (int step = 0; step < 10; step++) {
            granted += holder.tryCharge(NAME, RATE / 8, nowNanos).granted() ? 1 : 0;
            report();
            advance(250);
        }

        assertTrue(granted >= 9, "granted: " + granted);
    }

    @Test
    void grantsTokensOfTimeWithoutHoldersAfterFullRestart() {
        holder.report(nowNanos);
        advance(700);
        final long emptyNanos = holder.report(nowNanos).emptyNanos();

        allocator.endWithholding(emptyNanos, nowNanos);
        report();

        assertEquals(TimeUnit.MILLISECONDS.toNanos(700), emptyNanos);
        assertTrue(holder.tryCharge(NAME, RATE * 3 / 10, nowNanos).granted());
        assertFalse(holder.tryCharge(NAME, RATE, nowNanos).granted());
    }

    @Test
    void holderWithSharesReportsNoEmptyTime() {
        allocator.endWithholding(0, nowNanos);
        useHalfOfRate(1);

        assertEquals(0, holder.report(nowNanos).emptyNanos());
    }

    @Test
    void holderReportsEmptyTimeSinceLeaseExpired() {
        allocator.endWithholding(0, nowNanos);
        useHalfOfRate(1);
        advance(4_000);
        holder.report(nowNanos);
        advance(500);

        assertEquals(TimeUnit.MILLISECONDS.toNanos(500), holder.report(nowNanos).emptyNanos());
    }

    /**
     * Guards against a repeated grant that extends the lease under old limits: a grant is repeated
     * until the holder reports that it was applied, also after the limits were lowered.
     */
    @Test
    void repeatedGrantDoesNotDelayLoweredLimits() {
        allocator.endWithholding(0, nowNanos);
        advance(1_000);
        holder.apply(allocator.handle("gateway", holder.report(nowNanos), nowNanos), nowNanos);
        lowerTo(RATE / 10);
        advance(2_900);
        final ShareReport unanswered = holder.report(nowNanos);
        advance(50);
        holder.apply(allocator.handle("gateway", unapplied(unanswered), nowNanos), nowNanos);
        advance(100);

        assertFalse(holder.tryCharge(NAME, RATE / 5, nowNanos).granted());
    }

    private void lowerTo(long rate) {
        allocator.applyOrganisations(List.of(new Organisation(NAME, rate, rate, 1)), nowNanos);
    }

    /** Returns the report as if it had been sent before the last grant was applied. */
    private static ShareReport unapplied(ShareReport report) {
        return new ShareReport(
                report.generation(),
                report.epoch(),
                0,
                report.reportSequence(),
                report.urgent(),
                report.entries(),
                report.emptyNanos());
    }

    /**
     * A holder that does not know an organisation must ask the allocator before it refuses a
     * request.
     */
    @Test
    void refusedChargeToUnknownOrganisationSaysThatPoolMayHaveTokens() {
        allocator.endWithholding(0, nowNanos);
        report();

        assertTrue(holder.tryCharge("unknown", 1, nowNanos).poolMayHaveTokens());
    }
}
