package org.crocushaven.admission;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.crocushaven.fuzz.FaultCounts;
import org.crocushaven.fuzz.FuzzSettings;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Tests shares under lost, late, duplicated and reordered messages, crashes and leader changes. */
@Tag("fuzz")
class ShareFuzzTest {
    private static final int CASES = 300;
    private static final int STEPS = 600;

    @Test
    void usedTokensStayWithinBurstAndRateOverEveryInterval() {
        final FaultCounts<ShareFault> counts = FaultCounts.of(ShareFault.class);
        FuzzSettings.forEachCase(
                "shares",
                CASES,
                seed -> {
                    final ShareFleet fleet = ShareFleet.create(seed, counts);
                    for (int step = 0; step < STEPS; step++) {
                        fleet.step();
                    }
                    fleet.usage().check();
                    assertTrue(fleet.recovers(), "tokens were lost permanently");
                    fleet.usage().check();
                });
        counts.print("shares");
        counts.assertAllOccurred();
    }
}
