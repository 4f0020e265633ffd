package org.crocushaven.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.crocushaven.admission.ShareHolder;
import org.junit.jupiter.api.Test;

class GatewayReportsTest {
    private static final long HALF_LIFE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

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
                        ShareHolder.create(1).report(nowNanos)),
                nowNanos);
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
    void promptTokensHalveWithinTheHalfLife() {
        report("two", 0, new BackendLoad("engine", 2, 400));

        assertEquals(
                List.of(new BackendLoad("engine", 2, 200)),
                reports.otherLoads("one", HALF_LIFE_NANOS));
    }
}
