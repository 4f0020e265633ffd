package org.crocushaven.bench.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;
import org.crocushaven.configuration.AdapterVersion;
import org.crocushaven.placement.BackendSummary;
import org.crocushaven.routing.AffinityRouting;
import org.crocushaven.routing.AffinitySettings;
import org.crocushaven.routing.RouteQuery;
import org.crocushaven.routing.RoutingPolicy;
import org.crocushaven.routing.RoutingTable;

/** Times routing decisions on this machine, on one thread. */
final class RoutingCost {
    private static final int WARM_UP_DECISIONS = 200_000;
    private static final int DECISIONS = 300_000;
    private static final double MICROSECOND_NANOS = 1e3;
    private static final int LOADED_PER_SERVER = 32;

    private RoutingCost() {}

    /** Returns the given percentile of the time of one decision, in microseconds. */
    static double percentileMicros(int servers, int adapters, double percentile, long seed) {
        final SplittableRandom random = new SplittableRandom(seed);
        final RoutingTable table = RoutingTable.create();
        for (int number = 0; number < servers; number++) {
            final List<AdapterVersion> loaded = new ArrayList<>();
            for (int slot = 0; slot < LOADED_PER_SERVER; slot++) {
                loaded.add(AdapterVersion.of("adapter" + random.nextInt(adapters), "1"));
            }
            table.apply(
                    new BackendSummary(
                            "e" + number,
                            "model",
                            "d" + number % Deployment.FAILURE_DOMAINS,
                            1,
                            1,
                            1,
                            loaded.stream().distinct().toList(),
                            List.of(),
                            random.nextInt(16),
                            random.nextInt(8),
                            random.nextInt(16),
                            false));
            table.setDispatcher("e" + number, "i" + number % Deployment.INSTANCES);
        }
        final RoutingPolicy policy =
                AffinityRouting.create(table, AffinitySettings.defaults(), random.split());
        final Histogram histogram = new Histogram(3);
        for (int count = 0; count < WARM_UP_DECISIONS + DECISIONS; count++) {
            final RouteQuery query = query(random, adapters, count);
            final long begin = System.nanoTime();
            table.recordSent(policy.choose(query).candidates().get(0).backendServer());
            final long taken = System.nanoTime() - begin;
            if (count >= WARM_UP_DECISIONS) {
                histogram.recordValue(taken);
            }
        }
        return histogram.getValueAtPercentile(percentile) / MICROSECOND_NANOS;
    }

    private static RouteQuery query(SplittableRandom random, int adapters, int count) {
        return new RouteQuery(
                "r" + count,
                "model",
                Optional.of(AdapterVersion.of("adapter" + random.nextInt(adapters), "1")),
                "d0",
                Optional.empty(),
                Set.of(),
                count);
    }
}
