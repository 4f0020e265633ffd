package org.crocushaven.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.crocushaven.configuration.AdapterVersion;
import org.crocushaven.placement.BackendSummary;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AffinityRoutingTest {
    private static final AdapterVersion PINE = AdapterVersion.of("pine", "1");

    private final RoutingTable table = RoutingTable.create();

    private static BackendSummary summary(
            String name, long sequence, int free, int queue, List<AdapterVersion> loaded) {
        return new BackendSummary(
                name, "model", "a", 1, 1, sequence, loaded, List.of(), free, queue, 0, false);
    }

    private void add(String name, int free, int queue, List<AdapterVersion> loaded) {
        table.apply(summary(name, 1, free, queue, loaded));
        table.setDispatcher(name, "i1");
    }

    private RoutingDecision choose(long seed, Set<String> excluded) {
        return AffinityRouting.create(
                        table, AffinitySettings.defaults(), new SplittableRandom(seed))
                .choose(
                        new RouteQuery(
                                "r1",
                                "model",
                                Optional.of(PINE),
                                "a",
                                Optional.empty(),
                                excluded,
                                0));
    }

    @Nested
    class VersionsLoadedNowhere {
        @Test
        void choosesSameHomeForEverySeedAndAnotherServerIfExcluded() {
            for (int number = 0; number < 20; number++) {
                add("e" + number, 8, 0, List.of());
            }
            final RoutingDecision one = choose(1, Set.of());
            assertEquals(RoutingReason.HOME, one.reason());
            assertEquals(one.candidates().get(0), choose(2, Set.of()).candidates().get(0));
            final String home = one.candidates().get(0).backendServer();
            assertNotEquals(home, choose(3, Set.of(home)).candidates().get(0).backendServer());
        }
    }

    @Nested
    class LoadedVersions {
        @Test
        void choosesServerWithLoadedVersion() {
            add("e1", 8, 0, List.of());
            add("e2", 0, 2, List.of(PINE));
            final RoutingDecision decision = choose(1, Set.of());
            assertEquals("e2", decision.candidates().get(0).backendServer());
            assertEquals(RoutingReason.VERSION_LOADED, decision.reason());
        }

        @Test
        void choosesAnotherServerAsReplicaIfHolderIsOverloaded() {
            add("e1", 8, 0, List.of());
            add("e2", 0, 50, List.of(PINE));
            final RoutingDecision decision = choose(1, Set.of());
            assertEquals("e1", decision.candidates().get(0).backendServer());
            assertEquals("e2", decision.candidates().get(1).backendServer());
        }
    }

    @Nested
    class Table {
        @Test
        void appliesDeltaAndRejectsDeltaWithOtherBase() {
            final BackendSummary first = summary("e1", 1, 8, 0, List.of(PINE));
            final BackendSummary second = summary("e1", 2, 8, 0, List.of());
            table.apply(first);
            assertTrue(table.apply(second.since(first)));
            assertEquals(List.of(), table.withVersion(PINE));
            assertEquals(false, table.apply(second.since(first)));
        }

        @Test
        void doesNotChooseUnreachableServer() {
            add("e1", 8, 0, List.of(PINE));
            table.setReachable("e1", false);
            assertEquals(RoutingReason.NONE, choose(1, Set.of()).reason());
        }
    }

    @Nested
    class Failures {
        @Test
        void ejectsServerAfterFailuresAndRestoresItsWeightGradually() {
            final OutlierEjection ejection = OutlierEjection.create();
            for (int count = 0; count < 5; count++) {
                ejection.recordFailure("e1", 4, 0);
            }
            assertEquals(0, ejection.weight("e1", 500_000_000L));
            assertTrue(ejection.weight("e1", 1_500_000_000L) < 0.5);
            assertEquals(1, ejection.weight("e1", 7_000_000_000L));
        }

        @Test
        void limitsRetriesToFractionOfRequests() {
            final RetryBudget budget = RetryBudget.create(0.1, 0);
            int retries = 0;
            for (int count = 0; count < 1_000; count++) {
                budget.recordRequest("one", 0);
                retries += budget.tryRetry("one", 0) ? 1 : 0;
            }
            assertTrue(retries <= 110, "retries: " + retries);
        }
    }
}
