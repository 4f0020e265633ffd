package org.crocushaven.security;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.crocushaven.configuration.FleetConfiguration;
import org.crocushaven.configuration.KeyGrant;
import org.crocushaven.configuration.KeyHash;
import org.crocushaven.configuration.Organisation;
import org.crocushaven.fuzz.FaultCounts;
import org.crocushaven.fuzz.FuzzSettings;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Checks that no key is accepted longer than the freshness bound after its withdrawal, and that
 * requests whose key is known to be withdrawn are cancelled. A simulated leader grants and
 * withdraws keys while one instance is partitioned or suspended, and messages are lost, delayed,
 * reordered and duplicated. The check uses only the time at which the leader accepted each
 * withdrawal.
 */
@Tag("fuzz")
class KeyFreshnessFuzzTest {
    private static final int CASES = 400;
    private static final long BOUND_MILLIS = 3_000;
    private static final long CASE_MILLIS = 30_000;
    private static final long HEARTBEAT_MILLIS = 250;
    private static final int KEYS = 6;

    private final FaultCounts<Fault> counts = FaultCounts.of(Fault.class);

    @Test
    void withdrawnKeysAreNeverServedBeyondTheBound() {
        FuzzSettings.forEachCase("keys", CASES, seed -> new Run(seed).run());
        counts.print("keys");
        counts.assertAllOccurred();
    }

    private enum Fault {
        REQUEST_LOST,
        ANSWER_LOST,
        ANSWER_REPEATED,
        ANSWER_OLDER_THAN_KNOWN,
        CUT,
        FROZEN,
        WITHDRAWN_WHILE_CUT,
        SERVED_AFTER_WITHDRAWAL_WITHIN_BOUND,
        SERVED,
        REFUSED_STALE,
        REFUSED_WITHDRAWN,
        REFUSED_UNKNOWN,
        CANCELLED_UNDER_WAY
    }

    private record Event(long nanos, long order, Runnable action) {}

    /** Simulation of one case. */
    private final class Run {
        private final SplittableRandom random;
        private final PriorityQueue<Event> events =
                new PriorityQueue<>(
                        Comparator.comparingLong(Event::nanos).thenComparingLong(Event::order));
        private final Map<KeyHash, Long> withdrawnAtNanos = new HashMap<>();
        private final Set<KeyHash> requestsInFlight = new HashSet<>();
        private final ActiveRequests active = new ActiveRequests();
        private final FreshnessBound freshness;
        private final KeyCheck check;
        private long nowNanos;
        private long order;
        private long partitionedUntilNanos;
        private long suspendedUntilNanos;
        private FleetConfiguration accepted = configuration(0, Map.of());
        private FleetConfiguration known = accepted;

        Run(long seed) {
            random = new SplittableRandom(seed);
            nowNanos = random.nextLong();
            partitionedUntilNanos = nowNanos;
            suspendedUntilNanos = nowNanos;
            freshness = FreshnessBound.of(() -> nowNanos, BOUND_MILLIS);
            check = KeyCheck.of(freshness);
        }

        void run() {
            final long endNanos = nowNanos + millis(CASE_MILLIS);
            repeat(HEARTBEAT_MILLIS, this::heartbeat);
            repeat(1_500, this::change);
            repeat(20, this::request);
            repeat(5_000, this::partition);
            repeat(9_000, this::suspend);
            while (events.peek().nanos() - endNanos < 0) {
                final Event next = events.poll();
                nowNanos = next.nanos();
                next.action().run();
            }
        }

        private void repeat(long meanMillis, Runnable action) {
            schedule(
                    1 + random.nextLong(2 * meanMillis),
                    () -> {
                        action.run();
                        repeat(meanMillis, action);
                    });
        }

        private void schedule(long delayMillis, Runnable action) {
            events.add(new Event(nowNanos + millis(delayMillis), order++, action));
        }

        /** Runs an action of the instance, after its suspension if it is suspended. */
        private void onInstance(Runnable action) {
            if (suspendedUntilNanos - nowNanos > 0) {
                final long remainingMillis =
                        TimeUnit.NANOSECONDS.toMillis(suspendedUntilNanos - nowNanos) + 1;
                schedule(remainingMillis, () -> onInstance(action));
            } else {
                action.run();
            }
        }

        private void heartbeat() {
            onInstance(
                    () -> {
                        final long sentNanos = nowNanos;
                        if (isPartitioned() || random.nextInt(20) == 0) {
                            counts.count(Fault.REQUEST_LOST);
                        } else {
                            schedule(delay(), () -> answer(sentNanos));
                        }
                    });
        }

        private void answer(long sentNanos) {
            final FleetConfiguration confirmed = accepted;
            final int copies = random.nextInt(20) == 0 ? 2 : 1;
            if (copies == 2) {
                counts.count(Fault.ANSWER_REPEATED);
            }
            for (int copy = 0; copy < copies; copy++) {
                if (isPartitioned() || random.nextInt(20) == 0) {
                    counts.count(Fault.ANSWER_LOST);
                } else {
                    schedule(delay(), () -> onInstance(() -> confirm(sentNanos, confirmed)));
                }
            }
        }

        private void confirm(long sentNanos, FleetConfiguration confirmed) {
            if (confirmed.revision() < known.revision()) {
                counts.count(Fault.ANSWER_OLDER_THAN_KNOWN);
            } else {
                known = confirmed;
            }
            freshness.confirmedAt(sentNanos);
            active.cancelUngranted(known);
            for (final KeyHash key : requestsInFlight) {
                assertTrue(
                        known.key(key).filter(grant -> !grant.withdrawn()).isPresent(),
                        "a request with a key that is known to be withdrawn was not cancelled");
            }
        }

        private void change() {
            final KeyHash key = randomKey();
            final Map<KeyHash, KeyGrant> keys = new HashMap<>(accepted.keys());
            final KeyGrant grant = keys.get(key);
            if (grant == null) {
                keys.put(key, new KeyGrant(key, "las", "", false));
            } else if (!grant.withdrawn()) {
                keys.put(key, new KeyGrant(key, "las", "", true));
                withdrawnAtNanos.put(key, nowNanos);
                if (isPartitioned()) {
                    counts.count(Fault.WITHDRAWN_WHILE_CUT);
                }
            }
            accepted = configuration(accepted.revision() + 1, keys);
        }

        private void request() {
            onInstance(
                    () -> {
                        final KeyHash key = randomKey();
                        final ActiveRequests.Registration registration =
                                active.add(key, reason -> recordCancellation(key));
                        if (isServed(key)) {
                            checkServed(key);
                            requestsInFlight.add(key);
                            schedule(
                                    random.nextLong(4_000),
                                    () -> {
                                        registration.close();
                                        requestsInFlight.remove(key);
                                    });
                        } else {
                            registration.close();
                        }
                    });
        }

        private boolean isServed(KeyHash key) {
            try {
                return check.check(known, Optional.of(key), false).isPresent();
            } catch (ResultException refusal) {
                final Map<ResultCode, Fault> expected =
                        Map.of(
                                ResultCode.CONTROL_STATE_STALE, Fault.REFUSED_STALE,
                                ResultCode.KEY_WITHDRAWN, Fault.REFUSED_WITHDRAWN,
                                ResultCode.KEY_UNKNOWN, Fault.REFUSED_UNKNOWN);
                counts.count(expected.get(refusal.code()));
                return false;
            }
        }

        private void checkServed(KeyHash key) {
            counts.count(Fault.SERVED);
            final Long withdrawnNanos = withdrawnAtNanos.get(key);
            if (withdrawnNanos != null) {
                final long sinceNanos = nowNanos - withdrawnNanos;
                assertTrue(
                        sinceNanos < millis(BOUND_MILLIS),
                        "served " + sinceNanos + " ns after the withdrawal was accepted");
                counts.count(Fault.SERVED_AFTER_WITHDRAWAL_WITHIN_BOUND);
            }
        }

        private void recordCancellation(KeyHash key) {
            if (requestsInFlight.remove(key)) {
                counts.count(Fault.CANCELLED_UNDER_WAY);
            }
        }

        private void partition() {
            counts.count(Fault.CUT);
            partitionedUntilNanos = nowNanos + millis(random.nextLong(6_000));
        }

        private void suspend() {
            counts.count(Fault.FROZEN);
            suspendedUntilNanos = nowNanos + millis(random.nextLong(5_000));
        }

        private boolean isPartitioned() {
            return partitionedUntilNanos - nowNanos > 0;
        }

        private long delay() {
            return random.nextInt(15) == 0 ? random.nextLong(5_000) : 1 + random.nextLong(4);
        }

        private KeyHash randomKey() {
            return KeyHash.ofKey("key-" + random.nextInt(KEYS));
        }

        private static FleetConfiguration configuration(
                long revision, Map<KeyHash, KeyGrant> keys) {
            return new FleetConfiguration(
                    revision,
                    Map.of(),
                    Map.of("las", new Organisation("las", 1, 1, 1)),
                    Map.of(),
                    keys,
                    Set.of());
        }

        private static long millis(long count) {
            return TimeUnit.MILLISECONDS.toNanos(count);
        }
    }
}
