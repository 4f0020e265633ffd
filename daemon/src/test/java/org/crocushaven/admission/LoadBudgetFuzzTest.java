package org.crocushaven.admission;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import org.crocushaven.configuration.AdapterVersion;
import org.crocushaven.fuzz.FaultCounts;
import org.crocushaven.fuzz.FuzzSettings;
import org.crocushaven.settings.LoadBudgetSettings;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Tests the load budget under lost releases, lost holders and leader changes. */
@Tag("fuzz")
class LoadBudgetFuzzTest {
    private static final int CASES = 200;
    private static final int STEPS = 2_000;

    @Test
    void loadsStayWithinRateAndConcurrency() {
        final FaultCounts<Fault> counts = FaultCounts.of(Fault.class);
        FuzzSettings.forEachCase("load-budget", CASES, seed -> new Fleet(seed, counts).run());
        counts.print("load-budget");
        counts.assertAllOccurred();
    }

    private enum Fault {
        LEADER_CHANGED,
        HOLDER_LOST,
        RELEASE_LOST,
        REQUEST_WITHDRAWN,
        PREFETCH_WAITED,
        BOUND_REACHED
    }

    private static final class Fleet {
        private static final long MILLISECOND = 1_000_000L;
        private static final long LIFETIME = 2_000 * MILLISECOND;

        private final SplittableRandom random;
        private final FaultCounts<Fault> counts;
        private final LoadBudgetSettings settings;
        private final List<Load> running = new ArrayList<>();
        private final Deque<Long> starts = new ArrayDeque<>();
        private LoadBudget budget;
        private double bucketLevel;
        private long now;

        private Fleet(long seed, FaultCounts<Fault> counts) {
            this.random = new SplittableRandom(seed);
            this.counts = counts;
            this.settings =
                    new LoadBudgetSettings(
                            random.nextDouble(0.5, 20),
                            random.nextInt(1, 9),
                            random.nextInt(2, 17));
            this.budget = LoadBudget.create(settings, LIFETIME, 0);
        }

        private void run() {
            for (int step = 0; step < STEPS; step++) {
                now += random.nextLong(60 * MILLISECOND);
                final int choice = random.nextInt(200);
                if (choice < 120) {
                    request();
                } else if (choice < 130) {
                    counts.count(Fault.REQUEST_WITHDRAWN);
                    budget.withdraw(holder(), server(), version());
                } else if (choice < 131) {
                    changeLeader();
                } else if (choice < 133) {
                    counts.count(Fault.HOLDER_LOST);
                    budget.holderLost(holder());
                }
                endLoads();
                budget.tick(now).forEach(this::startLoad);
            }
        }

        private void request() {
            final LoadPriority priority = LoadPriority.values()[random.nextInt(3)];
            if (priority == LoadPriority.PREFETCH && budget.queued() > 0) {
                counts.count(Fault.PREFETCH_WAITED);
            }
            budget.request(
                    holder(),
                    new LoadRequest(
                            server(),
                            version(),
                            "o" + random.nextInt(3),
                            1 + random.nextInt(3),
                            priority,
                            random.nextInt(5)));
        }

        private void startLoad(LoadGrant grant) {
            running.add(new Load(grant, now + random.nextLong(LIFETIME)));
            final int bound = Math.max(2, settings.maximumInFlight());
            assertTrue(running.size() <= bound, "in flight: " + running.size());
            if (running.size() >= bound / 2) {
                counts.count(Fault.BOUND_REACHED);
            }
            final long last = starts.isEmpty() ? now : starts.getLast();
            starts.add(now);
            bucketLevel =
                    Math.max(0, bucketLevel - settings.loadsPerSecond() * (now - last) / 1e9) + 1;
            assertTrue(
                    bucketLevel <= settings.fullSpeedLoads() + 1e-6,
                    "over the rate: " + bucketLevel);
        }

        private void endLoads() {
            final List<Load> ended =
                    running.stream().filter(load -> load.endNanos() <= now).toList();
            running.removeAll(ended);
            for (final Load load : ended) {
                if (random.nextInt(10) == 0) {
                    counts.count(Fault.RELEASE_LOST);
                } else {
                    final LoadGrant grant = load.grant();
                    budget.release(grant.holder(), grant.backendServer(), grant.version());
                }
            }
        }

        /**
         * Replaces the leader and continues for one load lifetime, so that no load of its
         * predecessor is in flight at the next change.
         */
        private void changeLeader() {
            counts.count(Fault.LEADER_CHANGED);
            budget = LoadBudget.create(settings, LIFETIME, now);
            for (final Load load : running) {
                if (random.nextBoolean()) {
                    final LoadGrant grant = load.grant();
                    budget.redeclare(grant.holder(), grant.backendServer(), grant.version(), now);
                }
            }
            final long predecessorLoadsEndNanos = now + LIFETIME;
            while (now < predecessorLoadsEndNanos) {
                now += random.nextLong(60 * MILLISECOND);
                request();
                endLoads();
                budget.tick(now).forEach(this::startLoad);
            }
        }

        private String holder() {
            return "i" + random.nextInt(3);
        }

        private String server() {
            return "e" + random.nextInt(4);
        }

        private AdapterVersion version() {
            return AdapterVersion.of("adapter" + random.nextInt(10), "1");
        }
    }

    private record Load(LoadGrant grant, long endNanos) {}
}
