package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.crocushaven.fleet.BackendRecord;
import org.junit.jupiter.api.Test;

class BackendHealthTest {
    private static final String BACKEND = "b";

    private final BackendHealth health = new BackendHealth();

    private static List<BackendRecord> startedAt(long startedMillis) {
        return List.of(
                BackendRecordBuilder.of(BACKEND, "engines")
                        .running("v1")
                        .startedAt(startedMillis)
                        .build());
    }

    /** Guards against a new process that pays for the failures of the one before. */
    @Test
    void failuresOfAnEarlierStartDoNotCount() {
        health.retain(startedAt(1));
        health.recordFailure(BACKEND, 2, 0);
        health.retain(startedAt(1));
        assertEquals(2, health.failures(BACKEND, 0));

        health.retain(startedAt(2));

        assertEquals(0, health.failures(BACKEND, 0));
    }

    @Test
    void failuresOfRemovedBackendServersAreForgotten() {
        health.retain(startedAt(1));
        health.recordFailure(BACKEND, 2, 0);

        health.retain(List.of());
        health.retain(startedAt(1));

        assertEquals(0, health.failures(BACKEND, 0));
    }
}
