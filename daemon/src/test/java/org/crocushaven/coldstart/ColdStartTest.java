package org.crocushaven.coldstart;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ColdStartTest {
    private static final String BACKEND = "engine";
    private static final long STARTED_MILLIS = 7;
    private static final ColdStartBound BOUND = new ColdStartBound(3_000, 7.5);
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    private ColdStartLedger ledger = new ColdStartLedger();
    private long nowNanos = SECOND_NANOS;

    private void cold(long remainingMillis) {
        ledger.record(BACKEND, STARTED_MILLIS, remainingMillis, BOUND, "test", nowNanos);
    }

    private void advance(long millis) {
        nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private void exchange(ColdBackends gateway) {
        gateway.apply(ledger.exchange(gateway.report(nowNanos), nowNanos), nowNanos, nowNanos);
    }

    /** Counts what is sent, and the most within one second. */
    private static final class Sends {
        private final Deque<Long> lastSecond = new ArrayDeque<>();
        private int total;
        private int most;

        private void add(long nowNanos) {
            lastSecond.addLast(nowNanos);
            while (nowNanos - lastSecond.getFirst() >= SECOND_NANOS) {
                lastSecond.removeFirst();
            }
            total++;
            most = Math.max(most, lastSecond.size());
        }
    }

    /**
     * Sixty gateways that each would send three requests a second to the backend server, report
     * every 250 ms at moments of their own, and hold what they were granted for as long as they
     * may.
     */
    private Sends play(int seconds, boolean changesLeader) {
        final Random random = new Random(11);
        final List<ColdBackends> gateways = new ArrayList<>();
        for (int count = 0; count < 60; count++) {
            gateways.add(new ColdBackends());
        }
        cold(seconds * 1_000L);
        gateways.forEach(this::exchange);
        final Sends sends = new Sends();
        for (int millis = 0; millis < seconds * 1_000; millis += 5) {
            if (changesLeader && millis % 700 == 350) {
                ledger = new ColdStartLedger();
                cold(seconds * 1_000L - millis);
            }
            for (int number = 0; number < gateways.size(); number++) {
                final ColdBackends gateway = gateways.get(number);
                if (millis % 250 == number % 50 * 5) {
                    exchange(gateway);
                }
                if (random.nextDouble() < 3 * 0.005) {
                    gateway.recordWanted(BACKEND);
                    if (gateway.tryTake(BACKEND, STARTED_MILLIS, nowNanos)) {
                        sends.add(nowNanos);
                    }
                }
            }
            advance(5);
        }
        return sends;
    }

    @Nested
    class ManyGateways {
        @Test
        void neverExceedTheBoundInAnySecond() {
            final Sends sends = play(20, false);

            assertTrue(sends.most <= BOUND.requestsPerSecond(), sends.most + " in one second");
        }

        @Test
        void useFairPartOfTheBound() {
            final Sends sends = play(20, false);

            assertTrue(sends.total >= 20, sends.total + " in 20 s");
        }

        @Test
        void neverExceedTheBoundWhileLeadersChange() {
            final Sends sends = play(20, true);

            assertTrue(sends.most <= BOUND.requestsPerSecond(), sends.most + " in one second");
        }

        /** Each knows at once and asks for as much as it can; the grants are sent together. */
        @Test
        void thatSendAtTheLastMomentKeepTheBound() {
            final List<ColdBackends> gateways = new ArrayList<>();
            for (int count = 0; count < 60; count++) {
                gateways.add(new ColdBackends());
            }
            cold(10_000);
            final Sends sends = new Sends();
            for (int round = 0; round < 20; round++) {
                for (final ColdBackends gateway : gateways) {
                    for (int wish = 0; wish < 20; wish++) {
                        gateway.recordWanted(BACKEND);
                    }
                    exchange(gateway);
                    advance(4);
                }
                for (final ColdBackends gateway : gateways) {
                    while (gateway.tryTake(BACKEND, STARTED_MILLIS, nowNanos)) {
                        sends.add(nowNanos);
                    }
                }
            }

            assertTrue(sends.most <= BOUND.requestsPerSecond(), sends.most + " in one second");
        }
    }

    @Nested
    class Knowledge {
        private final ColdBackends gateway = new ColdBackends();

        private boolean allows() {
            return gateway.allows(BACKEND, STARTED_MILLIS, nowNanos);
        }

        @Test
        void ofAnyGatewayIsThatOfAll() {
            final ColdBackends doubting = new ColdBackends();
            doubting.doubt(BACKEND, STARTED_MILLIS, BOUND, nowNanos);
            for (final ColdUse use : doubting.report(nowNanos)) {
                cold(use.doubtMillis());
            }

            exchange(gateway);

            assertFalse(allows());
            assertEquals(
                    TimeUnit.MILLISECONDS.toNanos(250),
                    gateway.waitNanos(BACKEND, STARTED_MILLIS, nowNanos));
        }

        @Test
        void endsByItselfWithoutLeader() {
            cold(2_000);
            exchange(gateway);
            assertFalse(allows());

            advance(2_001);

            assertTrue(allows());
        }

        @Test
        void doesNotConcernLaterStarts() {
            cold(2_000);
            exchange(gateway);

            assertTrue(gateway.allows(BACKEND, STARTED_MILLIS + 1, nowNanos));
        }

        @Test
        void isNotEndedByThatOfShorterTime() {
            cold(2_000);
            cold(10);
            exchange(gateway);
            advance(1_000);

            assertFalse(allows());
        }
    }

    @Nested
    class Grants {
        private final ColdBackends gateway = new ColdBackends();

        private void grantOne() {
            cold(10_000);
            exchange(gateway);
            advance(1_000);
            gateway.recordWanted(BACKEND);
            exchange(gateway);
            assertTrue(gateway.allows(BACKEND, STARTED_MILLIS, nowNanos));
        }

        @Test
        void areUsedOnce() {
            grantOne();

            assertTrue(gateway.tryTake(BACKEND, STARTED_MILLIS, nowNanos));
            assertFalse(gateway.tryTake(BACKEND, STARTED_MILLIS, nowNanos));
        }

        @Test
        void lapse() {
            grantOne();

            advance(ColdStartBound.GRANT_VALID_MILLIS);

            assertFalse(gateway.tryTake(BACKEND, STARTED_MILLIS, nowNanos));
        }

        @Test
        void countFromTheSendingOfTheReport() {
            cold(10_000);
            exchange(gateway);
            final long askedNanos = nowNanos;
            advance(ColdStartBound.GRANT_VALID_MILLIS);

            gateway.apply(
                    List.of(new ColdGrant(BACKEND, STARTED_MILLIS, 5_000, 3)),
                    askedNanos,
                    nowNanos);

            assertFalse(gateway.tryTake(BACKEND, STARTED_MILLIS, nowNanos));
        }

        @Test
        void areWithdrawnAfterPauseThatTheClockDidNotCount() {
            grantOne();

            gateway.withdrawGrants();

            assertFalse(gateway.tryTake(BACKEND, STARTED_MILLIS, nowNanos));
        }
    }
}
