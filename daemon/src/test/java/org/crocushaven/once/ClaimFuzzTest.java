package org.crocushaven.once;

import java.util.SplittableRandom;
import org.crocushaven.fuzz.FaultCounts;
import org.crocushaven.fuzz.FuzzSettings;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Runs claimed calls under random faults and checks the invariants of {@link ClaimOracle}. */
@Tag("fuzz")
class ClaimFuzzTest {
    private static final int CASES = 1_500;
    private static final int STEPS = 250;

    @Test
    void runsCallsAtMostOnce() {
        final FaultCounts<ClaimFault> counts = FaultCounts.of(ClaimFault.class);
        try {
            FuzzSettings.forEachCase("claims", CASES, seed -> run(seed, counts));
        } finally {
            counts.print("claims");
        }
        if (!FuzzSettings.isSingleCase()) {
            counts.assertAllOccurred();
        }
    }

    private static void run(long seed, FaultCounts<ClaimFault> counts) {
        final ClaimScenario scenario = new ClaimScenario(new SplittableRandom(seed), counts);
        for (int step = 0; step < STEPS; step++) {
            scenario.step();
        }
        scenario.settle();
    }
}
