package org.crocushaven.bench.capacity;

import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.crocushaven.routing.AffinityRouting;
import org.crocushaven.routing.AffinitySettings;
import org.crocushaven.routing.RouteQuery;
import org.crocushaven.routing.RoutingPolicy;
import org.crocushaven.routing.RoutingTable;

/** The routing table of an instance against the number of backend servers, with 39,000 adapters. */
final class RoutingSlopes {
    private static final int[] SIZES = {16, 160, 800, 1_800};
    private static final int ADAPTERS = 39_000;

    private RoutingSlopes() {}

    /** Returns the slope of the heap kept by the table. */
    static Slope heap() {
        return Slope.of(
                "routing-heap",
                "backend servers",
                "KiB",
                SIZES,
                size -> HeapUse.kibibytesOf(() -> table(size)));
    }

    /** Returns the slope of the processor time of one choice. */
    static Slope choice() {
        return Slope.of(
                "routing-choice-cpu",
                "backend servers",
                "us/choice",
                SIZES,
                size -> chooseMicroseconds(table(size)));
    }

    private static RoutingTable table(int backendServers) {
        final RoutingTable table = RoutingTable.create();
        for (int number = 0; number < backendServers; number++) {
            table.apply(SampleFleet.summary(number, ADAPTERS));
            table.setDispatcher("worker-" + number, SampleFleet.instance(number % 550));
        }
        return table;
    }

    private static double chooseMicroseconds(RoutingTable table) {
        final RoutingPolicy policy =
                AffinityRouting.create(table, AffinitySettings.defaults(), new SplittableRandom(1));
        final SplittableRandom random = new SplittableRandom(2);
        return ProcessorTime.microsecondsOf(
                () ->
                        policy.choose(
                                new RouteQuery(
                                        "request",
                                        SampleFleet.SERVICE,
                                        Optional.of(SampleFleet.version(random.nextInt(ADAPTERS))),
                                        SampleFleet.failureDomain(1),
                                        Optional.empty(),
                                        Set.of(),
                                        1)));
    }
}
