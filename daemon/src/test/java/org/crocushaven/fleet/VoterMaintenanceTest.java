package org.crocushaven.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class VoterMaintenanceTest {
    private static final List<String> VOTERS = List.of("a", "b", "c");

    private final VoterMaintenance maintenance = new VoterMaintenance(1, 0);

    private static long seconds(long seconds) {
        return TimeUnit.SECONDS.toNanos(seconds);
    }

    private Optional<VoterMaintenance.Step> next(
            List<String> voters, List<String> foreign, long at) {
        return maintenance.next("a", voters, foreign, seconds(at));
    }

    @Test
    void aCompleteGroupIsUnchanged() {
        maintenance.markAlive("b", seconds(10));
        maintenance.markAlive("c", seconds(10));
        maintenance.markAlive("d", seconds(10));

        assertEquals(Optional.empty(), next(VOTERS, List.of(), 10));
    }

    @Test
    void aVoterThatLostItsDiskIsAddedAgain() {
        maintenance.markAlive("b", seconds(10));

        assertEquals(
                Optional.of(new VoterMaintenance.Step(true, "b")), next(VOTERS, List.of("b"), 10));
    }

    @Test
    void aSilentVoterIsReplacedBeforeItIsRemoved() {
        maintenance.markAlive("b", seconds(10));
        maintenance.markAlive("d", seconds(10));

        assertEquals(
                Optional.of(new VoterMaintenance.Step(true, "d")), next(VOTERS, List.of(), 10));
        assertEquals(
                Optional.of(new VoterMaintenance.Step(false, "c")),
                next(List.of("a", "b", "c", "d"), List.of(), 10));
    }

    @Test
    void aSilentVoterStaysWithoutReplacement() {
        maintenance.markAlive("b", seconds(10));

        assertEquals(Optional.empty(), next(VOTERS, List.of(), 10));
    }

    @Test
    void aTooSmallGroupGetsAnotherVoter() {
        maintenance.markAlive("b", seconds(1));
        maintenance.markAlive("d", seconds(1));

        assertEquals(
                Optional.of(new VoterMaintenance.Step(true, "d")),
                next(List.of("a", "b"), List.of(), 1));
    }
}
