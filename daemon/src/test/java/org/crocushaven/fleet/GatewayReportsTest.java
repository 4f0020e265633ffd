package org.crocushaven.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.crocushaven.admission.ShareHolder;
import org.crocushaven.protocol.MessageCodec;
import org.junit.jupiter.api.Test;

class GatewayReportsTest {
    private static final long HALF_LIFE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final GatewayReports reports = new GatewayReports();

    private void report(String gateway, long nowNanos, BackendLoad... loads) {
        reports.put(
                new GatewayReport(
                        gateway,
                        1,
                        1,
                        1,
                        1,
                        List.of(loads),
                        List.of(),
                        ShareHolder.create(1).report(nowNanos),
                        List.of(),
                        TraitReport.EMPTY,
                        List.of(),
                        PathReport.EMPTY,
                        List.of()),
                nowNanos);
    }

    @Test
    void reportOfGatewayThatRemembersNoStreamsIsRead() {
        final byte[] encoded =
                MessageCodec.encodeValue(
                        List.of(
                                "gateway",
                                1,
                                1,
                                1,
                                1,
                                List.of(),
                                List.of(),
                                ShareHolder.create(1).report(0)));

        assertEquals(List.of(), MessageCodec.decodeValue(encoded, GatewayReport.class).streams());
    }

    @Test
    void otherLoadsSumTheRequestsAndPromptTokensOfAllOtherGateways() {
        report("one", 0, new BackendLoad("engine", 1, 900));
        report("two", 0, new BackendLoad("engine", 2, 400));
        report("three", 0, new BackendLoad("engine", 3, 200));

        assertEquals(List.of(new BackendLoad("engine", 5, 600)), reports.otherLoads("one", 0));
        assertEquals(Map.of("engine", 6), reports.loads());
    }

    @Test
    void laterReportOfSameGatewayReplacesItsEarlierOne() {
        report("two", 0, new BackendLoad("engine", 2, 400), new BackendLoad("idle", 1, 0));
        report("three", 0, new BackendLoad("engine", 3, 0));
        report("two", HALF_LIFE_NANOS, new BackendLoad("engine", 1, 100));

        assertEquals(
                List.of(new BackendLoad("engine", 4, 100)),
                reports.otherLoads("one", HALF_LIFE_NANOS));
        assertEquals(Map.of("engine", 4), reports.loads());
    }

    @Test
    void loadsOfSilentGatewaysAreRemoved() {
        report("two", 0, new BackendLoad("engine", 2, 400));
        report("three", EXPIRY_NANOS, new BackendLoad("engine", 3, 0));
        reports.removeExpired(EXPIRY_NANOS);

        assertEquals(
                List.of(new BackendLoad("engine", 3, 0)), reports.otherLoads("one", EXPIRY_NANOS));
        assertEquals(List.of("three"), reports.gateways());
    }

    /** The sums kept by differences equal the sums over the last reports. */
    @Property(tries = 200)
    void sumsEqualThoseOfTheLastReports(
            @ForAll @Size(max = 40) List<@IntRange(max = 999) Integer> choices) {
        final GatewayReports kept = new GatewayReports();
        final Map<String, Map<String, Integer>> last = new TreeMap<>();
        long nowNanos = 0;
        for (final int choice : choices) {
            nowNanos += HALF_LIFE_NANOS / 10;
            final String gateway = "gateway-" + choice % 4;
            final Map<String, Integer> loads = new TreeMap<>();
            for (int backend = 0; backend < choice / 4 % 4; backend++) {
                loads.put("engine-" + (choice + backend) % 5, 1 + choice % 7);
            }
            last.put(gateway, loads);
            kept.put(reportOf(gateway, loads, nowNanos), nowNanos);
        }
        final Map<String, Integer> sums = new TreeMap<>();
        last.values()
                .forEach(loads -> loads.forEach((name, n) -> sums.merge(name, n, Integer::sum)));

        assertEquals(sums, new TreeMap<>(kept.loads()));
    }

    private static GatewayReport reportOf(
            String gateway, Map<String, Integer> loads, long nowNanos) {
        return new GatewayReport(
                gateway,
                1,
                1,
                1,
                1,
                loads.entrySet().stream()
                        .map(load -> new BackendLoad(load.getKey(), load.getValue(), 0))
                        .toList(),
                List.of(),
                ShareHolder.create(1).report(nowNanos),
                List.of(),
                TraitReport.EMPTY,
                List.of(),
                PathReport.EMPTY,
                List.of());
    }

    @Test
    void promptTokensHalveWithinTheHalfLife() {
        report("two", 0, new BackendLoad("engine", 2, 400));

        assertEquals(
                List.of(new BackendLoad("engine", 2, 200)),
                reports.otherLoads("one", HALF_LIFE_NANOS));
    }
}
