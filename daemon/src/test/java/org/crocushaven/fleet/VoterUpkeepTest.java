package org.crocushaven.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class VoterUpkeepTest {
    private static final List<String> VOTERS = List.of("a", "b", "c");

    private final VoterUpkeep upkeep = new VoterUpkeep(1, 0);

    private static long seconds(long seconds) {
        return TimeUnit.SECONDS.toNanos(seconds);
    }

    private Optional<VoterUpkeep.Step> next(List<String> voters, List<String> foreign, long at) {
        return upkeep.next("a", voters, foreign, seconds(at));
    }

    @Test
    void aCompleteGroupIsUnchanged() {
        upkeep.markAlive("b", seconds(10));
        upkeep.markAlive("c", seconds(10));
        upkeep.markAlive("d", seconds(10));

        assertEquals(Optional.empty(), next(VOTERS, List.of(), 10));
    }

    @Test
    void aVoterThatLostItsDiskIsAddedAgain() {
        upkeep.markAlive("b", seconds(10));

        assertEquals(Optional.of(new VoterUpkeep.Step(true, "b")), next(VOTERS, List.of("b"), 10));
    }

    @Test
    void aSilentVoterIsReplacedBeforeItIsRemoved() {
        upkeep.markAlive("b", seconds(10));
        upkeep.markAlive("d", seconds(10));

        assertEquals(Optional.of(new VoterUpkeep.Step(true, "d")), next(VOTERS, List.of(), 10));
        assertEquals(
                Optional.of(new VoterUpkeep.Step(false, "c")),
                next(List.of("a", "b", "c", "d"), List.of(), 10));
    }

    @Test
    void aSilentVoterStaysWithoutReplacement() {
        upkeep.markAlive("b", seconds(10));

        assertEquals(Optional.empty(), next(VOTERS, List.of(), 10));
    }

    @Test
    void aTooSmallGroupGetsAnotherVoter() {
        upkeep.markAlive("b", seconds(1));
        upkeep.markAlive("d", seconds(1));

        assertEquals(
                Optional.of(new VoterUpkeep.Step(true, "d")),
                next(List.of("a", "b"), List.of(), 1));
    }
}
