package org.crocushaven.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.crocushaven.fuzz.FaultCounts;
import org.crocushaven.fuzz.FuzzSettings;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Announces backend servers while control instances are lost, cut off and restarted. */
@Tag("fuzz")
class DepartureFuzzTest {
    private static final int CASES = 2;
    private static final int STEPS = 80;

    @TempDir private Path folder;

    @Test
    void noLeaderOffersBackendServerWhoseDepartureWasAcknowledged() {
        final FaultCounts<DepartureFault> counts = FaultCounts.of(DepartureFault.class);
        try {
            FuzzSettings.forEachCase("departures", CASES, seed -> run(seed, counts));
        } finally {
            counts.print("departures");
        }
        if (!FuzzSettings.isSingleCase()) {
            counts.assertAllOccurred();
        }
    }

    private void run(long seed, FaultCounts<DepartureFault> counts) {
        try (DepartureScenario scenario =
                new DepartureScenario(Files.createTempDirectory(folder, "case"), seed, counts)) {
            for (int step = 0; step < STEPS; step++) {
                scenario.step();
            }
            scenario.settle();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
