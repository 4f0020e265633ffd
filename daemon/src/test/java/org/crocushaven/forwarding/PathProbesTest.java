package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.crocushaven.fleet.BackendRecord;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PathProbesTest {
    private final List<BackendRecord> records =
            IntStream.rangeClosed(1, 5)
                    .mapToObj(
                            number ->
                                    BackendRecordBuilder.of("b" + number, "engines")
                                            .at("10.0.0." + number, 80)
                                            .running("v1")
                                            .build())
                    .toList();
    private final List<String> tried = new ArrayList<>();
    private boolean opens;
    private long nowMillis = 1_000;
    private final BackendPaths paths =
            new BackendPaths(address -> false, () -> {}, TimeUnit.MILLISECONDS.toNanos(nowMillis));
    private final PathProbes probes =
            new PathProbes(
                    () -> TimeUnit.MILLISECONDS.toNanos(nowMillis),
                    paths,
                    (backend, then) -> {
                        tried.add(backend.backend());
                        then.accept(opens);
                    });

    PathProbesTest() {
        paths.retain(records);
    }

    private void look(long millis, List<BackendRecord> awaited) {
        for (long passed = 0; passed < millis; passed += PathProbes.INTERVAL_MILLIS) {
            nowMillis += PathProbes.INTERVAL_MILLIS;
            probes.look(records, awaited);
        }
    }

    private boolean isCutOff() {
        return paths.isCutOff(TimeUnit.MILLISECONDS.toNanos(nowMillis));
    }

    @Nested
    class Silence {
        @Test
        void withRequestsInFlightShowsWithinHalfSecondThatTheGatewayIsCutOff() {
            look(300, records.subList(0, 2));

            assertEquals(3, tried.size());
            assertTrue(isCutOff());
        }

        @Test
        void withoutRequestsInFlightIsNotLookedInto() {
            look(3_000, List.of());

            assertEquals(List.of(), tried);
        }

        /** Guards against taking a sound backend server that is silent for more than that. */
        @Test
        void ofBackendServersThatTakeConnectionsIsNoCut() {
            opens = true;

            look(1_000, records.subList(0, 2));

            assertFalse(isCutOff());
            assertFalse(paths.isAnyClosed());
        }

        @Test
        void whileTheGatewayItselfDidNotRunIsNotLookedInto() {
            look(100, records);
            nowMillis += 3_000;
            probes.look(records, records);

            assertEquals(List.of(), tried);
        }
    }

    @Nested
    class Recovery {
        @Test
        void opensAllPathsSoonAfterTheFirst() {
            look(2_000, records);
            assertTrue(isCutOff());

            opens = true;
            look(850, List.of());

            assertFalse(paths.isAnyClosed());
        }
    }
}
