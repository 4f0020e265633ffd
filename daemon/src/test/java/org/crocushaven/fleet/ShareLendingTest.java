package org.crocushaven.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.crocushaven.admission.ShareHolder;
import org.crocushaven.protocol.MessageCodec;
import org.junit.jupiter.api.Test;

class ShareLendingTest {
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final FleetState state = FleetState.create();
    private final List<FleetCommand> proposals = new ArrayList<>();
    private final ShareLending lending = new ShareLending(1, state, proposals::add, 0, 0);

    private void register(String... gateways) {
        state.apply(
                1, MessageCodec.encodeValue(FleetCommand.gateways(List.of(gateways), List.of())));
    }

    private void report(String gateway, long nowNanos) {
        lending.lend(
                new GatewayReport(
                        gateway,
                        1,
                        1,
                        1,
                        1,
                        List.of(),
                        List.of(),
                        ShareHolder.create(1).report(nowNanos),
                        List.of(),
                        TraitReport.EMPTY,
                        List.of(),
                        PathReport.EMPTY,
                        List.of()),
                nowNanos);
    }

    private List<List<String>> removals() {
        return proposals.stream().map(FleetCommand::gatewaysRemoved).toList();
    }

    @Test
    void removalOfAbsentGatewayThatFailedIsProposedAgain() {
        register("present", "absent");
        for (long second = 0; second <= 32; second++) {
            report("present", second * SECOND_NANOS);
            lending.tick(second * SECOND_NANOS);
        }

        assertEquals(List.of(List.of("absent"), List.of("absent"), List.of("absent")), removals());
    }

    @Test
    void gatewayThatFallsSilentDuringTheTermIsRemoved() {
        register("present", "silent");
        report("silent", 0);
        for (long second = 0; second <= 30; second++) {
            report("present", second * SECOND_NANOS);
            lending.tick(second * SECOND_NANOS);
        }

        assertEquals(List.of(List.of("silent")), removals());
    }
}
