package org.crocushaven.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class LimitLedgerTest {
    private static final String BACKEND = "limited";
    private static final long REPORT_MILLIS = 250;
    private static final long PLAYED_MILLIS = 20_000;
    private static final long WINDOW_MILLIS = 4_000;
    private static final double REPORT_LOSS = 0.1;
    private static final double LEADER_LOSS_PER_MILLI = 0.0002;
    private static final long LONGEST_OUTAGE_MILLIS = 2_000;
    private static final long LONGEST_PHASE_MILLIS = 6_000;

    private static LimitStatement limit(double perSecond, long ageMillis) {
        return new LimitStatement(BACKEND, 1, perSecond, ageMillis);
    }

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /**
     * The users' bound of LIMIT holds over all gateways, whose reports and answers are lost and
     * whose leader changes, if each sends all that it was granted as late as it may, also after
     * times in which none wanted any.
     */
    @Property(tries = 150)
    void allGatewaysTogetherStayWithinTheLimit(
            @ForAll @DoubleRange(min = 0, max = 200) double perSecond,
            @ForAll @IntRange(min = 1, max = 90) int gateways,
            @ForAll long seed) {
        final Random random = new Random(seed);
        final long[] offsets = random.longs(gateways, 0, REPORT_MILLIS).toArray();
        final Deque<Long> window = new ArrayDeque<>();
        final List<Long> granted = new ArrayList<>();
        LimitLedger ledger = new LimitLedger();
        long leaderlessUntil = 0;
        long phaseEnd = 0;
        boolean idle = false;
        for (long now = 0; now < PLAYED_MILLIS; now++) {
            if (now >= phaseEnd) {
                idle = !idle;
                phaseEnd = now + random.nextLong(LONGEST_PHASE_MILLIS);
            }
            if (random.nextDouble() < LEADER_LOSS_PER_MILLI) {
                ledger = new LimitLedger();
                leaderlessUntil = now + random.nextLong(LONGEST_OUTAGE_MILLIS);
            }
            for (final long offset : offsets) {
                final boolean reports = now >= leaderlessUntil && now % REPORT_MILLIS == offset;
                if (reports && random.nextDouble() >= REPORT_LOSS) {
                    final int wanted = idle ? 0 : random.nextInt(1_000);
                    final int requests =
                            ledger.exchange(
                                            List.of(new LimitUse(limit(perSecond, 0), wanted)),
                                            nanos(now))
                                    .get(0)
                                    .requests();
                    for (int number = 0; number < requests; number++) {
                        granted.add(now + random.nextLong(LimitGrant.VALID_MILLIS));
                    }
                }
            }
        }
        granted.sort(Long::compare);
        for (final long sent : granted) {
            window.addLast(sent);
            while (sent - window.peekFirst() >= WINDOW_MILLIS) {
                window.removeFirst();
            }
            final double allowed = 1.5 * perSecond * 4 + 5;
            assertTrue(window.size() <= allowed, window.size() + " in 4 s, allowed " + allowed);
        }
    }

    @Test
    void gatewaysThatWantItGetTheWholeRate() {
        final LimitLedger ledger = new LimitLedger();
        int granted = 0;
        for (long now = 0; now <= PLAYED_MILLIS; now += REPORT_MILLIS) {
            granted +=
                    ledger.exchange(List.of(new LimitUse(limit(8, 0), 100)), nanos(now))
                            .get(0)
                            .requests();
        }

        assertTrue(granted >= 8 * PLAYED_MILLIS / 1_000 * 0.9, granted + " granted");
    }

    @Test
    void limitThatOneGatewayHeardOfIsToldToTheOthers() {
        final LimitLedger ledger = new LimitLedger();
        ledger.exchange(List.of(new LimitUse(limit(3, 20), 0)), nanos(100));

        assertEquals(
                List.of(new LimitGrant(limit(3, 30), 0)), ledger.exchange(List.of(), nanos(110)));
    }

    @Test
    void theLaterOfTwoStatementsHolds() {
        final LimitLedger ledger = new LimitLedger();
        ledger.exchange(List.of(new LimitUse(limit(LimitStatement.NO_LIMIT, 10), 0)), nanos(100));
        ledger.exchange(List.of(new LimitUse(limit(3, 50), 0)), nanos(110));

        assertEquals(
                LimitStatement.NO_LIMIT,
                ledger.exchange(List.of(), nanos(120)).get(0).statement().perSecond());
    }

    @Test
    void laterStartReplacesWhatAnEarlierOneSaid() {
        final LimitLedger ledger = new LimitLedger();
        ledger.exchange(List.of(new LimitUse(limit(3, 0), 0)), nanos(100));
        final LimitStatement later = new LimitStatement(BACKEND, 2, 7, 90);

        ledger.exchange(List.of(new LimitUse(later, 0)), nanos(110));

        assertEquals(7, ledger.exchange(List.of(), nanos(120)).get(0).statement().perSecond());
    }

    @Test
    void whatNoGatewayReportsIsForgotten() {
        final LimitLedger ledger = new LimitLedger();
        ledger.exchange(List.of(new LimitUse(limit(3, 0), 0)), nanos(100));

        ledger.tick(nanos(30_000));

        assertEquals(List.of(), ledger.exchange(List.of(), nanos(30_001)));
    }
}
