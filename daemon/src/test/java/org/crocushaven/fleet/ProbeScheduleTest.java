package org.crocushaven.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ProbeScheduleTest {
    private static final List<Long> PARTS = List.of(66L);
    private static final String GATEWAY = "gateway";

    private final ProbeSchedule probes = new ProbeSchedule();
    private TraitVerdict verdict =
            new TraitVerdict(PARTS, List.of("base"), List.of(), 3, "leader", 1, 0);

    /** Lets a request be refused in each second; returns the second of the next probe. */
    private long secondOfProbe(long fromSeconds, long untilSeconds) {
        for (long second = fromSeconds; second < untilSeconds; second++) {
            final long nowNanos = TimeUnit.SECONDS.toNanos(second);
            probes.retain(List.of(verdict), nowNanos);
            probes.refused(PARTS, GATEWAY, nowNanos);
            final Optional<TraitVerdict> due = probes.due(List.of(verdict), nowNanos);
            if (due.isPresent()) {
                verdict = verdict.withOneMoreProbe();
                probes.grant(PARTS, nowNanos);
                return second;
            }
        }
        return -1;
    }

    /** Guards against probes that end more than three backend servers after the fifth. */
    @Test
    void verdictIsProbedTwiceAtMost() {
        final long first = secondOfProbe(0, 10_000);
        final long second = secondOfProbe(first, 10_000);

        assertEquals(120, first);
        assertEquals(120 + 1_200, second);
        assertEquals(-1, secondOfProbe(second, 100_000));
    }

    @Test
    void grantGoesOnceToTheGatewayThatRefusedLast() {
        secondOfProbe(0, 200);

        assertEquals(List.of(), probes.takeGrants("other", List.of(verdict)));
        assertEquals(List.of(verdict), probes.takeGrants(GATEWAY, List.of(verdict)));
        assertEquals(List.of(), probes.takeGrants(GATEWAY, List.of(verdict)));
    }

    @Test
    void verdictWithoutRequestsIsNotProbedAndForgottenAfterAnHour() {
        probes.retain(List.of(verdict), 0);

        assertEquals(Optional.empty(), probes.due(List.of(verdict), TimeUnit.MINUTES.toNanos(10)));
        assertEquals(List.of(), probes.forgotten(TimeUnit.MINUTES.toNanos(60)));
        assertEquals(List.of(PARTS), probes.forgotten(TimeUnit.MINUTES.toNanos(61)));
    }
}
