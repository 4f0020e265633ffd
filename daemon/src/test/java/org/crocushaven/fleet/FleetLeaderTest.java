package org.crocushaven.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.agrona.concurrent.SystemEpochClock;
import org.agrona.concurrent.SystemNanoClock;
import org.crocushaven.admission.ShareHolder;
import org.crocushaven.protocol.MessageCodec;
import org.junit.jupiter.api.Test;

class FleetLeaderTest {
    private static final int BACKENDS = 60;
    private static final int FEW_GATEWAYS = 40;
    private static final int MANY_GATEWAYS = 640;
    private static final int REPORTS = 4_000;
    private static final int ROUNDS = 5;
    private static final long HEARTBEAT_MILLIS = 60_000;

    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();

    private static FleetLeader leader(int gateways) {
        final BackendRegistry registry = BackendRegistry.of(HEARTBEAT_MILLIS);
        for (int backend = 0; backend < BACKENDS; backend++) {
            registry.accept(announcement(backend), System.nanoTime());
        }
        final FleetState state = FleetState.create();
        state.apply(
                1,
                MessageCodec.encodeValue(
                        FleetCommand.gateways(
                                IntStream.range(0, gateways)
                                        .mapToObj(FleetLeaderTest::nameOf)
                                        .toList(),
                                List.of())));
        return new FleetLeader(
                new EngineOrderContext(null, null, null, "leader", 1, () -> true),
                registry,
                state,
                SystemNanoClock.INSTANCE,
                0,
                0,
                command -> {},
                StreamDirectory.of(
                        SoftwareVersionLog.startingAt(
                                state,
                                1,
                                command -> {
                                    state.apply(2, MessageCodec.encodeValue(command));
                                    return CompletableFuture.completedFuture(null);
                                },
                                System.nanoTime())),
                new TraitVerdicts(
                        "leader",
                        1,
                        state,
                        SystemNanoClock.INSTANCE,
                        SystemEpochClock.INSTANCE,
                        command -> CompletableFuture.completedFuture(null),
                        () -> {}));
    }

    private static BackendAnnouncement announcement(int backend) {
        return new BackendAnnouncement(
                "backend-" + backend,
                "service",
                "10.0.0." + backend,
                80,
                "a",
                BackendState.READY,
                16,
                1,
                1,
                false,
                List.of(),
                "",
                0);
    }

    private static String nameOf(int gateway) {
        return "gateway-" + gateway;
    }

    private static GatewayReport report(int gateway, GatewayUpdate last) {
        final List<BackendLoad> loads = new ArrayList<>();
        for (int backend = 0; backend < BACKENDS; backend += 4) {
            loads.add(new BackendLoad("backend-" + (backend + gateway) % BACKENDS, 2, 800));
        }
        return new GatewayReport(
                nameOf(gateway),
                last == null ? 0 : last.epoch(),
                last == null ? 0 : last.revision(),
                0,
                0,
                loads,
                List.of(),
                ShareHolder.create(1).report(System.nanoTime()),
                List.of(),
                TraitReport.EMPTY,
                List.of(),
                PathReport.EMPTY,
                List.of());
    }

    /** Returns the least processor time of a report over several rounds, in microseconds. */
    private double microsPerReport(int gateways) {
        final FleetLeader leader = leader(gateways);
        final List<GatewayReport> reports = new ArrayList<>();
        for (int gateway = 0; gateway < gateways; gateway++) {
            reports.add(report(gateway, leader.report(report(gateway, null), List.of())));
        }
        long least = Long.MAX_VALUE;
        for (int round = 0; round < ROUNDS; round++) {
            final long startNanos = threads.getCurrentThreadCpuTime();
            for (int number = 0; number < REPORTS; number++) {
                leader.report(reports.get(number % gateways), List.of());
            }
            least = Math.min(least, threads.getCurrentThreadCpuTime() - startNanos);
        }
        return least / (double) TimeUnit.MICROSECONDS.toNanos(1) / REPORTS;
    }

    @Test
    void gatewayReceivesTheWholeViewAgainAfterLeaseGapWithinOneTerm() {
        final GatewayUpdate before = leader(1).report(report(0, null), List.of());

        final GatewayUpdate after = leader(1).report(report(0, before), List.of());

        assertTrue(after.complete());
        assertEquals(BACKENDS, after.changed().size());
    }

    /** The bound leaves a factor of four of sixteen for caches and maps. */
    @Test
    void costOfReportDoesNotGrowWithTheNumberOfGateways() {
        microsPerReport(FEW_GATEWAYS);
        final double few = microsPerReport(FEW_GATEWAYS);
        final double many = microsPerReport(MANY_GATEWAYS);

        assertTrue(many < 4 * few, many + " us with many gateways, " + few + " us with few");
    }
}
