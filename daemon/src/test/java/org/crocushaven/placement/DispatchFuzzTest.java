package org.crocushaven.placement;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.crocushaven.fuzz.FaultCounts;
import org.crocushaven.fuzz.FuzzSettings;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Tests permits, loads and evictions under takeovers, lost holders, restarts and late messages. */
@Tag("fuzz")
class DispatchFuzzTest {
    private static final int CASES = 200;
    private static final int STEPS = 500;

    @Test
    void unloadsNoVersionInUseAndReleasesEveryPermit() {
        final FaultCounts<DispatchFault> counts = FaultCounts.of(DispatchFault.class);
        FuzzSettings.forEachCase(
                "dispatch",
                CASES,
                seed -> {
                    final DispatchFleet fleet = DispatchFleet.create(seed, counts);
                    for (int step = 0; step < STEPS; step++) {
                        fleet.step();
                    }
                    assertTrue(
                            fleet.recovers(),
                            "a permit was not released or a request not answered");
                });
        counts.print("dispatch");
        counts.assertAllOccurred();
    }
}
