package org.crocushaven.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.crocushaven.configuration.Organisation;
import org.crocushaven.protocol.MessageCodec;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Simulates callers that come back when they were told to, to any of the gateways. */
class RefusedRequestsReturnTest {
    private static final String NAME = "organisation";
    private static final int HOLDERS = 7;
    private static final long RATE = 40_000;
    private static final double DEBT = 5_100;
    private static final long TOKENS = 1_700;
    private static final int TRIES = 3;
    private static final long DEADLINE_MILLIS = 12_000;
    private static final long STEP_MILLIS = 5;
    private static final long REPORT_MILLIS = 60;
    private static final double NEW_DEMAND = 0.55;

    private final SplittableRandom random = new SplittableRandom(11);
    private final List<ShareHolder> holders = new ArrayList<>();
    private final PriorityQueue<Caller> callers =
            new PriorityQueue<>(Comparator.comparingLong(Caller::returnsNanos));
    private final long startNanos = TimeUnit.SECONDS.toNanos(50);
    private long nowNanos = startNanos;
    private long incarnation = 1;
    private long chargedTokens;
    private int served;
    private final ShareAllocator allocator = newAllocator();

    private ShareAllocator newAllocator() {
        final ShareAllocator created =
                ShareAllocator.create(
                        1,
                        ShareAllocatorSettings.toleratingAllocatorLoss().withMaximumDebt(DEBT),
                        List.of(new Organisation(NAME, RATE, RATE, 1)),
                        nowNanos);
        created.endWithholding(0, nowNanos);
        startHolders();
        return created;
    }

    /** Starts all gateways, which know nothing of before. */
    private void startHolders() {
        incarnation += 1_000;
        holders.clear();
        for (int holder = 0; holder < HOLDERS; holder++) {
            holders.add(ShareHolder.create(incarnation));
        }
    }

    private void report(int holder) {
        final ShareHolder reporting = holders.get(holder);
        reporting.apply(
                allocator.handle("gateway-" + holder, reporting.report(nowNanos), nowNanos),
                nowNanos);
    }

    /** Asks a gateway, which asks the leader once before it refuses. */
    private void ask(Caller caller) {
        final int holder = random.nextInt(HOLDERS);
        final ShareHolder asked = holders.get(holder);
        Charge charge = asked.tryCharge(NAME, TOKENS, nowNanos);
        if (!charge.granted()) {
            report(holder);
            charge = asked.tryCharge(NAME, TOKENS, nowNanos);
        }
        if (charge.granted()) {
            chargedTokens += TOKENS;
            served += caller.counted() ? 1 : 0;
        } else if (caller.triesLeft() > 1) {
            final long delayNanos =
                    caller.counted()
                            ? asked.streamReturnDelayNanos(charge, nowNanos)
                            : charge.retryAfterNanos();
            callers.add(caller.after(delayNanos, nowNanos));
        }
    }

    private void simulate(long millis) {
        final long endNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
        final double newPerStep = NEW_DEMAND * RATE / TOKENS * STEP_MILLIS / 1_000;
        while (nowNanos < endNanos) {
            final long step = nowNanos / TimeUnit.MILLISECONDS.toNanos(STEP_MILLIS);
            for (int holder = 0; holder < HOLDERS; holder++) {
                if ((step + holder) % (REPORT_MILLIS / STEP_MILLIS) == 0) {
                    report(holder);
                }
            }
            if (random.nextDouble() < newPerStep) {
                ask(new Caller(nowNanos, nowNanos, 1, false));
            }
            while (!callers.isEmpty() && callers.peek().returnsNanos() <= nowNanos) {
                ask(callers.remove());
            }
            nowNanos += TimeUnit.MILLISECONDS.toNanos(STEP_MILLIS);
        }
    }

    private void addCallers(int count, long withinMillis, boolean counted) {
        for (int caller = 0; caller < count; caller++) {
            final long arrival =
                    nowNanos + TimeUnit.MILLISECONDS.toNanos(random.nextLong(withinMillis));
            callers.add(new Caller(arrival, nowNanos, TRIES, counted));
        }
    }

    /**
     * A caller's next try.
     *
     * @param counted whether it takes up a stream
     */
    private record Caller(long returnsNanos, long beganNanos, int triesLeft, boolean counted) {
        /** Returns the caller after a refusal; it waits a third of its time at most. */
        private Caller after(long delayNanos, long nowNanos) {
            final long endNanos = beganNanos + TimeUnit.MILLISECONDS.toNanos(DEADLINE_MILLIS);
            final long waitNanos = Math.min(delayNanos, (endNanos - nowNanos) / 3);
            return new Caller(nowNanos + waitNanos, beganNanos, triesLeft - 1, counted);
        }
    }

    @Nested
    class AfterAllGatewaysLostPower {
        private static final int STREAMS = 40;
        private static final int OTHERS = 40;

        /** Loses all gateways for 1.8 s, whereupon their callers come within a second. */
        private void loseAllGateways() {
            simulate(5_000);
            nowNanos += TimeUnit.MILLISECONDS.toNanos(1_800);
            startHolders();
            addCallers(STREAMS, 1_000, true);
            addCallers(OTHERS, 1_000, false);
        }

        // Guards against: streams that clients take up burn their tries within a second (LOST).
        @Test
        void streamsTakenUpGoOnWithinTheTriesOfTheirClients() {
            loseAllGateways();
            simulate(DEADLINE_MILLIS);

            assertTrue(served >= 0.8 * STREAMS, "served: " + served + " of " + STREAMS);
        }

        @Test
        void organisationStaysWithinItsRateBurstAndDebt() {
            loseAllGateways();
            simulate(DEADLINE_MILLIS);

            final double seconds = (nowNanos - startNanos) / 1e9;
            assertTrue(chargedTokens <= RATE * (seconds + 1) + DEBT, "charged: " + chargedTokens);
        }
    }

    @Nested
    class WithFewRefusals {
        @Test
        void firstRefusedRequestIsToldTheTimeUntilItsTokens() {
            report(0);
            final ShareHolder holder = holders.get(0);
            Charge charge = holder.tryCharge(NAME, TOKENS, nowNanos);
            while (charge.granted()) {
                charge = holder.tryCharge(NAME, TOKENS, nowNanos);
            }

            final long delayNanos = holder.streamReturnDelayNanos(charge, nowNanos);
            assertEquals(charge.retryAfterNanos(), delayNanos);
        }
    }

    @Nested
    class BesideOtherSoftware {
        private List<Object> encoded(int components) {
            final List<Object> values = new ArrayList<>(List.of(NAME));
            while (values.size() < components) {
                values.add(1);
            }
            return values;
        }

        @Test
        void sharesWithoutTheTokensOfReturnsAreRead() {
            final ShareEntry entry =
                    MessageCodec.decodeValue(
                            MessageCodec.encodeValue(encoded(12)), ShareEntry.class);
            final ShareChange change =
                    MessageCodec.decodeValue(
                            MessageCodec.encodeValue(encoded(7)), ShareChange.class);

            assertEquals(0, entry.returningTokens());
            assertEquals(0, change.returningTokens());
        }

        @Test
        void sharesWithComponentsOfLaterSoftwareAreRead() {
            final ShareEntry entry =
                    MessageCodec.decodeValue(
                            MessageCodec.encodeValue(encoded(14)), ShareEntry.class);
            final ShareChange change =
                    MessageCodec.decodeValue(
                            MessageCodec.encodeValue(encoded(9)), ShareChange.class);

            assertEquals(1, entry.returningTokens());
            assertEquals(1, change.returningTokens());
        }
    }
}
