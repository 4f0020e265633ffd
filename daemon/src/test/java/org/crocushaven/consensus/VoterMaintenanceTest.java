package org.crocushaven.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class VoterMaintenanceTest {
    private static final List<String> VOTERS = List.of("a", "b", "c");
    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final VoterMaintenance maintenance =
            new VoterMaintenance(1, ReplicaTiming.FAST_FAILOVER, 0);

    private long nowNanos;

    /** Lets time pass as it does for an instance that runs. */
    private void passSeconds(long seconds) {
        final long endNanos = nowNanos + TimeUnit.SECONDS.toNanos(seconds);
        while (nowNanos < endNanos) {
            nowNanos += TICK_NANOS;
            maintenance.observe(nowNanos);
        }
    }

    private void hear(String... instances) {
        Arrays.stream(instances).forEach(name -> maintenance.heard(name, nowNanos));
    }

    private Optional<VoterMaintenance.Step> next(List<String> voters, String... foreign) {
        return maintenance.next("a", voters, List.of(foreign));
    }

    @Test
    void aCompleteGroupIsUnchanged() {
        passSeconds(10);
        hear("b", "c", "d");

        assertEquals(Optional.empty(), next(VOTERS));
    }

    @Test
    void aVoterThatLostItsDiskIsAddedAgain() {
        passSeconds(10);
        hear("b");

        assertEquals(Optional.of(new VoterMaintenance.Step(true, "b")), next(VOTERS, "b"));
    }

    @Test
    void aSilentVoterIsReplacedBeforeItIsRemoved() {
        passSeconds(10);
        hear("b", "d");

        assertEquals(Optional.of(new VoterMaintenance.Step(true, "d")), next(VOTERS));
        assertEquals(
                Optional.of(new VoterMaintenance.Step(false, "c")),
                next(List.of("a", "b", "c", "d")));
    }

    @Test
    void aSilentVoterStaysWithoutReplacement() {
        passSeconds(10);
        hear("b");

        assertEquals(Optional.empty(), next(VOTERS));
    }

    @Test
    void aTooSmallGroupGetsAnotherVoter() {
        passSeconds(1);
        hear("b", "d");

        assertEquals(Optional.of(new VoterMaintenance.Step(true, "d")), next(List.of("a", "b")));
    }

    @Test
    void silenceWhileTheLeaderItselfWasFrozenDoesNotCount() {
        hear("b", "c", "d");
        nowNanos += TimeUnit.SECONDS.toNanos(60);
        maintenance.observe(nowNanos);
        hear("b", "d");

        assertEquals(Optional.empty(), next(VOTERS));
    }

    @Test
    void aMessageOfTheGroupCountsOnce() {
        maintenance.contacted("c", 1, nowNanos);
        passSeconds(10);
        maintenance.contacted("c", 1, nowNanos);
        hear("b", "d");

        assertEquals(Optional.of(new VoterMaintenance.Step(true, "d")), next(VOTERS));
    }
}
